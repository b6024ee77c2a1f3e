package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"lavenderpond/core/trace"
)

type traceCmd struct {
	Job   string   `arg:"" help:"The job's id."`
	Files []string `arg:"" optional:"" help:"Logs of the processes; standard input if none is named."`
}

// traceTimeLayout is the format of times in a trace: the time of day with milliseconds.
const traceTimeLayout = "15:04:05.000"

// Run prints the history of one job from the logs of several processes.
func (c traceCmd) Run(a *app) error {
	logs := []io.Reader{a.stdin}
	if len(c.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return failf(exitRefused, "%v", err)
		}
		defer f.Close() //nolint:errcheck // The file is only read.
		logs = append(logs, f)
	}
	h, err := trace.Read(c.Job, logs...)
	if err != nil {
		return failf(exitRefused, "%v", err)
	}
	if len(h.Lines) == 0 {
		return failf(exitRefused, "no line of the logs concerns job %s", c.Job)
	}
	for _, l := range h.Lines {
		a.printf("%s %s %s%s\n", l.At.Format(traceTimeLayout), l.Node, l.Event, formatFields(l.Fields))
	}
	if h.Omitted > 0 {
		a.printf("%d log lines, of any job, were omitted to limit the size of the logs; some may be missing above\n", h.Omitted)
	}
	return nil
}

// formatFields formats fields as name=value, sorted by name.
func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%v", k, fields[k])
	}
	return b.String()
}
