package harness

import "sync"

// maxLog bounds what is kept of a process's log, in bytes.
const maxLog = 1 << 20

// log keeps the latest of what is written to it.
type log struct {
	mu   sync.Mutex
	text []byte
	cut  bool
}

// Write implements io.Writer.
func (l *log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if excess := len(l.text) - maxLog; excess > 0 {
		l.text = append(l.text[:0], l.text[excess:]...)
		l.cut = true
	}
	return len(p), nil
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return "[earlier output dropped]\n" + string(l.text)
	}
	return string(l.text)
}
