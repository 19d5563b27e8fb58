package harness

import "sync"

// maxLogBytes limits the part of a process's log that is retained.
const maxLogBytes = 1 << 20

// logBuffer retains the last maxLogBytes bytes written to it.
type logBuffer struct {
	mu        sync.Mutex
	text      []byte
	truncated bool
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if excess := len(l.text) - maxLogBytes; excess > 0 {
		l.text = append(l.text[:0], l.text[excess:]...)
		l.truncated = true
	}
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.truncated {
		return "[earlier output dropped]\n" + string(l.text)
	}
	return string(l.text)
}
