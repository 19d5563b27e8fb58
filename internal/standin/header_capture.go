package standin

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

const (
	// maxCapturedHeaders limits the number of header blocks kept.
	maxCapturedHeaders = 2000
	// maxPendingBytes limits the received bytes kept for each connection, from
	// which the header block of the next request is extracted.
	maxPendingBytes = 64 << 10
)

// rawCapture captures header blocks and detects secrets in the bytes received,
// before any parsing.
type rawCapture struct {
	mu              sync.Mutex
	headers         [][]byte
	incomplete      int
	secrets         [][]byte
	detected        map[string]bool
	maxSecretLength int
}

func newRawCapture() *rawCapture { return &rawCapture{detected: map[string]bool{}} }

func (c *rawCapture) watchSecrets(secrets []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range secrets {
		c.secrets = append(c.secrets, []byte(s))
		c.maxSecretLength = max(c.maxSecretLength, len(s))
	}
}

func (c *rawCapture) detectedSecrets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.detected))
}

func (c *rawCapture) report() RawHeadersReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := RawHeadersReport{Incomplete: c.incomplete, Headers: []string{}}
	for _, h := range c.headers {
		report.Headers = append(report.Headers, string(h))
	}
	return report
}

// addHeader keeps a header block; nil counts as incomplete.
func (c *rawCapture) addHeader(header []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if header == nil {
		c.incomplete++
		return
	}
	if len(c.headers) >= maxCapturedHeaders {
		c.headers = c.headers[1:]
	}
	c.headers = append(c.headers, header)
}

// scan searches data for the secrets. It returns how many bytes at the end of
// data must be scanned again together with the next data, because a secret may
// be split between the two.
func (c *rawCapture) scan(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.secrets {
		if bytes.Contains(data, s) {
			c.detected[string(s)] = true
		}
	}
	return min(len(data), max(0, c.maxSecretLength-1))
}

// connCapture captures the bytes received on one connection.
type connCapture struct {
	capture *rawCapture

	mu sync.Mutex
	// pending holds the latest bytes received.
	pending []byte
	// overlap holds the last bytes of the previous scan.
	overlap []byte
}

func (c *connCapture) addReceived(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, data...)
	if excess := len(c.pending) - maxPendingBytes; excess > 0 {
		c.pending = append(c.pending[:0], c.pending[excess:]...)
	}
	window := append(c.overlap, data...)
	overlapLength := c.capture.scan(window)
	c.overlap = slices.Clone(window[len(window)-overlapLength:])
}

// addRequest captures the header block of the request being served, whose first
// line begins with requestLine.
func (c *connCapture) addRequest(requestLine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capture.addHeader(c.extractHeader([]byte(requestLine)))
}

// extractHeader returns the header block of the latest request that begins with
// requestLine and discards pending up to its end. It returns nil if pending does
// not contain the complete header block.
func (c *connCapture) extractHeader(requestLine []byte) []byte {
	begin := bytes.LastIndex(c.pending, requestLine)
	if begin < 0 {
		return nil
	}
	length := bytes.Index(c.pending[begin:], []byte("\r\n\r\n"))
	if length < 0 {
		return nil
	}
	header := slices.Clone(c.pending[begin : begin+length])
	c.pending = append(c.pending[:0], c.pending[begin+length:]...)
	return header
}
