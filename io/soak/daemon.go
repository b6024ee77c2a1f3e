package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/link"
	"lavenderpond/platform/standin"
)

// entry is a daemon of an entry VM and the links to and from it.
type entry struct {
	name         string
	settingsFile string
	logFile      string
	// callerLink carries callers' calls to the daemon and listens at callerAddress. The other
	// links carry the daemon's calls to the table and to the machines service.
	callerLink, tableLink, machinesLink *link.Link
	callerAddress                       netip.AddrPort
	// daemonAddress is where the daemon itself takes callers.
	daemonAddress netip.AddrPort

	mu sync.Mutex
	// command is the latest process; exited is closed once it has ended.
	command *exec.Cmd
	exited  chan struct{}
}

// addEntry sets up the links and the settings file of a daemon.
func (f *fleet) addEntry(ctx context.Context, i int, table, machinesAddress netip.AddrPort) error {
	e := &entry{name: fmt.Sprintf("entry-%d", i), exited: make(chan struct{})}
	close(e.exited)
	daemonAddress, err := freeAddress()
	if err != nil {
		return err
	}
	e.daemonAddress = daemonAddress
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	var tableAt, machinesAt netip.AddrPort
	if e.tableLink, tableAt, err = f.addLink(ctx, e.name+"-table", table); err != nil {
		return err
	}
	if e.machinesLink, machinesAt, err = f.addLink(ctx, e.name+"-machines", machinesAddress); err != nil {
		return err
	}
	if e.callerLink, e.callerAddress, err = f.addLink(ctx, e.name+"-front", daemonAddress); err != nil {
		return err
	}
	e.settingsFile = filepath.Join(f.folder, e.name+".toml")
	e.logFile = filepath.Join(f.folder, e.name+".log")
	f.entries = append(f.entries, e)
	peer, err := freeAddress()
	if err != nil {
		return err
	}
	text := standin.SettingsText(e.name, string(f.zone(i)), peer, daemonAddress.String(), ready.String(), tableAt.String(), machinesAt.String())
	return errors.Wrap(os.WriteFile(e.settingsFile, []byte(text), 0o600), "write settings of daemon")
}

// startDaemon starts a daemon unless it is running.
func (f *fleet) startDaemon(e *entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		return nil
	}
	out, err := os.OpenFile(e.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log of daemon")
	}
	arguments := []string{e.settingsFile}
	if f.policyFile != "" {
		arguments = append(arguments, policyFlag, f.policyFile)
	}
	c := exec.Command(f.binary, arguments...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	e.command, e.exited = c, exited
	f.group.Go(func() {
		_ = c.Wait() // A killed daemon returns an error, which is expected.
		_ = out.Close()
		close(exited)
	})
	return nil
}

// signal sends a signal to the daemon if it is running.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.command.Process.Signal(s) // The process may have just ended.
	}
}

// waitExit waits until the daemon has ended, and reports whether it did within timeout.
func (e *entry) waitExit(timeout time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
