package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAnswerSize bounds the size that a request may ask for, in bytes.
	maxAnswerSize = 64 << 20
	// maxRecent bounds the answers kept to cross with others.
	maxRecent = 16
	// duplicateLinger is how long a connection stays open after an answer
	// was sent twice, so that the copy can arrive.
	duplicateLinger = 200 * time.Millisecond
)

// answer is what a request gets.
type answer struct {
	attempt string
	status  int
	body    []byte
}

// answerTo returns the true answer to a request: a line that names what was
// done, padded to size bytes if the request asks for more.
func answerTo(e Execution, service string, times int, size string) answer {
	line := fmt.Sprintf("%s %s %s workspace=%s", service, e.Method, e.Path, e.Workspace)
	if e.Method != http.MethodGet && e.Method != http.MethodHead {
		line += fmt.Sprintf(" length=%d sha256=%s", e.BodyLength, e.BodySHA256)
	}
	if e.Operation != "" {
		line += fmt.Sprintf(" operation=%s times=%d", e.Operation, times)
	}
	body := []byte(line + "\n")
	if n, err := strconv.Atoi(size); err == nil && n > len(body) && n <= maxAnswerSize {
		body = append(body, bytes.Repeat([]byte{'.'}, n-len(body))...)
	}
	return answer{attempt: e.Attempt, status: http.StatusOK, body: body}
}

// answer sends an answer, or what the quirk makes of it.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, q quirk, a answer) {
	switch q {
	case errorAnswer:
		a.status = http.StatusInternalServerError
		a.body = []byte("internal error\n")
	case crossedAnswer:
		a = b.otherAnswer(a)
	case noEcho:
		a.attempt = ""
	case halfAnswer:
		writeHalf(w, a)
		panic(http.ErrAbortHandler)
	case stalledAnswer:
		writeHalf(w, a)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case duplicateAnswer:
		writeTwice(w, a)
		return
	default:
		b.remember(a)
	}
	a.writeHeader(w)
	_, _ = w.Write(a.body)
}

func (a answer) writeHeader(w http.ResponseWriter) {
	for name, values := range a.header() {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
}

func (a answer) header() http.Header {
	h := http.Header{}
	if a.attempt != "" {
		h.Set(AttemptHeader, a.attempt)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	return h
}

// writeHalf declares the whole length and sends half.
func writeHalf(w http.ResponseWriter, a answer) {
	a.writeHeader(w)
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
}

// writeTwice sends the same answer twice. The second would be taken for the
// answer to the next request on the connection.
func writeTwice(w http.ResponseWriter, a answer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var wire bytes.Buffer
	resp := &http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header(),
		ContentLength: int64(len(a.body)),
		Body:          io.NopCloser(bytes.NewReader(a.body)),
	}
	if resp.Write(&wire) != nil {
		return
	}
	_, _ = conn.Write(bytes.Repeat(wire.Bytes(), 2))
	_ = conn.SetReadDeadline(time.Now().Add(duplicateLinger))
	_, _ = io.Copy(io.Discard, conn)
}

// remember keeps an answer to cross with a later one.
func (b *Backend) remember(a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.recent) >= maxRecent {
		b.recent = b.recent[1:]
	}
	b.recent = append(b.recent, a)
}

// otherAnswer returns the answer to another request.
func (b *Backend) otherAnswer(a answer) answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, other := range b.recent {
		if other.attempt != a.attempt {
			return other
		}
	}
	a.attempt = "other-" + a.attempt
	a.body = []byte(strings.Repeat("x", len(a.body)))
	return a
}
