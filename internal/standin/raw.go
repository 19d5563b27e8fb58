package standin

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

const (
	// maxRawHeaders bounds the header blocks kept.
	maxRawHeaders = 2000
	// maxPending bounds what a connection keeps for finding its next
	// request's header block, in bytes.
	maxPending = 64 << 10
)

// rawLog keeps what came in on the wire, before any parsing.
type rawLog struct {
	mu         sync.Mutex
	headers    [][]byte
	incomplete int
	secrets    [][]byte
	seen       map[string]bool
	longest    int
}

func newRawLog() *rawLog { return &rawLog{seen: map[string]bool{}} }

func (l *rawLog) watch(secrets []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range secrets {
		l.secrets = append(l.secrets, []byte(s))
		l.longest = max(l.longest, len(s))
	}
}

func (l *rawLog) secretsSeen() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.seen))
}

func (l *rawLog) report() RawHeadersReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := RawHeadersReport{Incomplete: l.incomplete, Headers: []string{}}
	for _, h := range l.headers {
		report.Headers = append(report.Headers, string(h))
	}
	return report
}

func (l *rawLog) keep(header []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if header == nil {
		l.incomplete++
		return
	}
	if len(l.headers) >= maxRawHeaders {
		l.headers = l.headers[1:]
	}
	l.headers = append(l.headers, header)
}

// scan looks for the secrets in data, and returns how many bytes at its end
// must be looked at again together with what follows.
func (l *rawLog) scan(data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.secrets {
		if bytes.Contains(data, s) {
			l.seen[string(s)] = true
		}
	}
	return min(len(data), max(0, l.longest-1))
}

// rawStream is what came in on one connection.
type rawStream struct {
	log *rawLog

	mu sync.Mutex
	// pending are the latest bytes received.
	pending []byte
	// overlap are the last bytes of the previous scan.
	overlap []byte
}

func (s *rawStream) received(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, data...)
	if excess := len(s.pending) - maxPending; excess > 0 {
		s.pending = append(s.pending[:0], s.pending[excess:]...)
	}
	window := append(s.overlap, data...)
	again := s.log.scan(window)
	s.overlap = slices.Clone(window[len(window)-again:])
}

// request keeps the header block of the request that is being served, whose
// first line begins with startLine.
func (s *rawStream) request(startLine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.keep(s.cutHeader([]byte(startLine)))
}

func (s *rawStream) cutHeader(startLine []byte) []byte {
	begin := bytes.LastIndex(s.pending, startLine)
	if begin < 0 {
		return nil
	}
	length := bytes.Index(s.pending[begin:], []byte("\r\n\r\n"))
	if length < 0 {
		return nil
	}
	header := slices.Clone(s.pending[begin : begin+length])
	s.pending = append(s.pending[:0], s.pending[begin+length:]...)
	return header
}
