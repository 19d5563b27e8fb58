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
	// maxResponseBytes is the maximum response size that a request can ask for.
	maxResponseBytes = 64 << 20
	// maxRecentResponses limits the responses kept for MismatchedRatio.
	maxRecentResponses = 16
	// duplicateCloseDelay is how long a connection stays open after a duplicated
	// response, so that the client receives the duplicate before the connection
	// is closed.
	duplicateCloseDelay = 200 * time.Millisecond
)

type response struct {
	// attempt is the attempt ID to echo; empty omits the header.
	attempt string
	status  int
	body    []byte
}

// executionResponse returns the correct response to an executed request: a line
// that describes the execution, padded to size bytes if the request asks for a
// larger response. Completions is the number of completed executions of the
// operation.
func executionResponse(execution Execution, service string, completions int, size string) response {
	line := fmt.Sprintf("%s %s %s workspace=%s", service, execution.Method, execution.Path, execution.Workspace)
	if execution.Method != http.MethodGet && execution.Method != http.MethodHead {
		line += fmt.Sprintf(" length=%d sha256=%s", execution.BodyLength, execution.BodySHA256)
	}
	if execution.Operation != "" {
		line += fmt.Sprintf(" operation=%s times=%d", execution.Operation, completions)
	}
	body := []byte(line + "\n")
	if n, err := strconv.Atoi(size); err == nil && n > len(body) && n <= maxResponseBytes {
		body = append(body, bytes.Repeat([]byte{'.'}, n-len(body))...)
	}
	return response{attempt: execution.Attempt, status: http.StatusOK, body: body}
}

// sendResponse sends the response as modified by the fault.
func (b *Backend) sendResponse(w http.ResponseWriter, r *http.Request, fault responseFault, resp response) {
	b.setLeavingHeader(w)
	switch fault {
	case errorResponse:
		resp.status = http.StatusInternalServerError
		resp.body = []byte("internal error\n")
	case mismatchedResponse:
		resp = b.otherResponse(resp)
	case missingAttempt:
		resp.attempt = ""
	case truncatedResponse:
		writeTruncated(w, resp)
		panic(http.ErrAbortHandler)
	case stalledResponse:
		writeTruncated(w, resp)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case endlessResponse:
		writeEndless(w)
		return
	case duplicatedResponse:
		writeDuplicated(w, resp)
		return
	default:
		b.addRecent(resp)
	}
	resp.writeHeader(w)
	_, _ = w.Write(resp.body)
}

func (resp response) writeHeader(w http.ResponseWriter) {
	for name, values := range resp.header() {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.status)
}

func (resp response) header() http.Header {
	h := http.Header{}
	if resp.attempt != "" {
		h.Set(AttemptHeader, resp.attempt)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	return h
}

// writeTruncated declares the full Content-Length and sends half of the body.
func writeTruncated(w http.ResponseWriter, resp response) {
	resp.writeHeader(w)
	_, _ = w.Write(resp.body[:len(resp.body)/2])
	_ = http.NewResponseController(w).Flush()
}

// writeEndless sends headers until the client closes the connection.
func writeEndless(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	block := bytes.Repeat([]byte("X-Padding: endless\r\n"), 1000)
	for _, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err == nil; {
		_, err = conn.Write(block)
	}
}

// writeDuplicated sends the same response twice. A client that reuses the
// connection would take the second for the response to its next request.
func writeDuplicated(w http.ResponseWriter, resp response) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var wire bytes.Buffer
	message := &http.Response{
		StatusCode:    resp.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        resp.header(),
		ContentLength: int64(len(resp.body)),
		Body:          io.NopCloser(bytes.NewReader(resp.body)),
	}
	if message.Write(&wire) != nil {
		return
	}
	_, _ = conn.Write(bytes.Repeat(wire.Bytes(), 2))
	_ = conn.SetReadDeadline(time.Now().Add(duplicateCloseDelay))
	_, _ = io.Copy(io.Discard, conn)
}

// addRecent keeps a response for otherResponse.
func (b *Backend) addRecent(resp response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.recentResponses) >= maxRecentResponses {
		b.recentResponses = b.recentResponses[1:]
	}
	b.recentResponses = append(b.recentResponses, resp)
}

// otherResponse returns a recent response to another attempt, or a placeholder of
// the same length if there is none.
func (b *Backend) otherResponse(resp response) response {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, other := range b.recentResponses {
		if other.attempt != resp.attempt {
			return other
		}
	}
	resp.attempt = "other-" + resp.attempt
	resp.body = []byte(strings.Repeat("x", len(resp.body)))
	return resp
}
