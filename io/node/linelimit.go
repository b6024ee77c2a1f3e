package node

import "sync"

// maxLinesPerSecond bounds the log lines of each kind. Under peak load, each kind of decision occurs
// about 250 times a second.
const maxLinesPerSecond = 400

// lineLimiter bounds log lines per second and kind. The zero value is ready to use.
type lineLimiter[K comparable] struct {
	mu      sync.Mutex
	second  int64
	written map[K]int
	omitted map[K]int
}

// admit reports whether a line of a kind may be written now, and how many were omitted before it.
func (l *lineLimiter[K]) admit(kind K) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := bootNow().Unix(); now != l.second || l.written == nil {
		l.second = now
		l.written = map[K]int{}
	}
	if l.omitted == nil {
		l.omitted = map[K]int{}
	}
	if l.written[kind] >= maxLinesPerSecond {
		l.omitted[kind]++
		return 0, false
	}
	l.written[kind]++
	omitted = l.omitted[kind]
	delete(l.omitted, kind)
	return omitted, true
}
