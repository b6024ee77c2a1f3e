package target

import "syscall"

// isQuiet says that an idle connection is open and has nothing to read. A target that
// restarts or closes idle connections has closed its side: a request written then is
// lost without a trace, and one that must run at most once could not be sent again.
// The look right before the write leaves only the time that the close takes on the
// network, which the request's own way takes as well.
func isQuiet(c *conn) bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
