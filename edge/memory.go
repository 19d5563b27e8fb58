package edge

import (
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/memory"
	"foxtailspoke/upstream"
)

// callerWriteTimeout is the time after which a caller that neither accepts nor acknowledges a
// byte of its response is disconnected. It is what servers grant for reading theirs.
const callerWriteTimeout = 5 * time.Second

// retryAfterNoMemory is the Retry-After of a request whose body doesn't fit. Another instance may
// have room; at this one bodies are done within the time that requests take.
const retryAfterNoMemory = retryAfterShort

// machineBytes returns the memory of the machine, 0 if unknown.
func machineBytes(s settings.Settings) int64 { return int64(s.MemoryMB * (1 << 20)) }

// readAccountedBody reads the body of a request into memory that counts for its workspace.
func (e *Edge) readAccountedBody(c *call, w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	if e.memorySizeKnown() {
		// A body that isn't complete by then is useless, and would hold its memory for as long
		// as its caller likes.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(c.deadline - e.now()))
	}
	var err error
	held := e.heldBy(c.workspaceName(), memory.Request)
	c.body, c.bodyHeld, err = upstream.ReadBody(r.Body, r.ContentLength, limit, held)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, upstream.ErrBodyTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	case errors.Is(err, upstream.ErrNoBodyMemory):
		return e.noMemoryRefusal(retryAfterNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, rule: RuleBodyUnreadable}
	default:
		return &refusal{status: http.StatusBadRequest, rule: RuleBodyUnreadable}
	}
}

func (e *Edge) noMemoryRefusal(wait time.Duration) *refusal {
	e.metrics.rejectedForMemory.Inc()
	return &refusal{http.StatusServiceUnavailable, RuleNoMemory, wait}
}

func (e *Edge) memorySizeKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.memory.SizeKnown()
}

// releaseBody releases the body of a request that has ended.
func (e *Edge) releaseBody(c *call) {
	e.heldBy(c.workspaceName(), memory.Request).Release(c.bodyHeld)
	c.bodyHeld = 0
}

// workspaceName returns the name of the workspace, "" if the request has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// heldBytes counts bodies of one kind for one workspace. It implements upstream.BodyMemory.
type heldBytes struct {
	e         *Edge
	workspace string
	kind      memory.Kind
}

func (e *Edge) heldBy(workspace string, k memory.Kind) heldBytes { return heldBytes{e, workspace, k} }

// Reserve implements upstream.BodyMemory.
func (h heldBytes) Reserve(n int) bool {
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	return h.e.state.memory.Reserve(h.workspace, h.kind, int64(n), h.e.now())
}

// Release implements upstream.BodyMemory.
func (h heldBytes) Release(n int) {
	if n == 0 {
		return
	}
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	h.e.state.memory.Release(h.workspace, h.kind, int64(n))
}

// MemoryStatus describes the bytes of bodies that an instance holds.
type MemoryStatus struct {
	LimitBytes    int64 `json:"limitBytes"`
	RequestBytes  int64 `json:"requestBytes"`
	ResponseBytes int64 `json:"responseBytes"`
	// Refused counts the bodies that didn't fit since the start.
	Refused uint64 `json:"refused"`
	// HeadBytes is what the heads of requests take, of HeadLimitBytes; HeadsRefused counts those
	// that didn't fit since the start.
	HeadBytes      int64  `json:"headBytes"`
	HeadLimitBytes int64  `json:"headLimitBytes"`
	HeadsRefused   uint64 `json:"headsRefused"`
}

func (e *Edge) memoryStatus() MemoryStatus {
	m := e.state.memory
	return MemoryStatus{
		LimitBytes: m.LimitBytes(), RequestBytes: m.Held(memory.Request), ResponseBytes: m.Held(memory.Response), Refused: m.Refused(),
		HeadBytes: e.heads.Held(), HeadLimitBytes: e.heads.LimitBytes(), HeadsRefused: e.heads.Refused(),
	}
}

// memoryMetrics are the metrics of the bytes that an instance holds.
type memoryMetrics struct {
	callersCutOff     prometheus.Counter
	rejectedForMemory prometheus.Counter
	// connectionsEvicted counts connections that were closed for others.
	connectionsEvicted prometheus.Counter
}

func newMemoryMetrics(e *Edge, m *metrics) memoryMetrics {
	mm := memoryMetrics{
		callersCutOff: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "callers_cut_off_total",
			Help: "Callers that were disconnected because they didn't read their responses.",
		}),
		rejectedForMemory: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "rejected_for_memory_total",
			Help: "Requests that were rejected because their bodies or their heads didn't fit.",
		}),
		connectionsEvicted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_evicted_total",
			Help: "Connections that were closed because a port had as many as it accepts.",
		}),
	}
	m.registry.MustRegister(mm.callersCutOff, mm.rejectedForMemory, mm.connectionsEvicted)
	for _, k := range []memory.Kind{memory.Request, memory.Response} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_bytes", Help: "Bytes of the bodies that this instance holds, by kind.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, e.locked(func() float64 { return float64(e.state.memory.Held(k)) })))
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "held_head_bytes", Help: "Bytes that the heads of requests take once parsed.",
	}, func() float64 { return float64(e.heads.Held()) }))
	return mm
}

// handleHeadRefused records that a request was refused because its head didn't fit into memory.
func (e *Edge) handleHeadRefused(remoteAddr string) {
	e.metrics.rejectedForMemory.Inc()
	if e.budget.Allow(e.now(), 1) {
		event.HeadRefused.Log(e.log, slog.String("caller", remoteAddr), slog.Int64("held", e.heads.Held()))
	}
}

// handleCallerCutOff records that a caller was disconnected because it didn't read its
// response.
func (e *Edge) handleCallerCutOff(remoteAddr string) {
	e.metrics.callersCutOff.Inc()
	if e.budget.Allow(e.now(), 1) {
		event.CallerCutOff.Log(e.log, slog.String("caller", remoteAddr))
	}
}
