package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"foxtailspoke/internal/standin/tables"
)

// maxAPIBodyBytes is the maximum size of a request body to the platform's API.
const maxAPIBodyBytes = 64 << 20

// withFaults wraps next in a handler that injects the current faults.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := serviceForRequest(r)
		write := r.Method != http.MethodGet
		p.countRequest(write)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAPIBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		faults, changed := p.faults.get()
		f := *faults.forService(s)
		if f.Down != DownNone {
			failRequest(w, r, f.Down, changed)
			return
		}
		if !p.allow(s, f, write) {
			writeProblemStatus(w, http.StatusTooManyRequests, "above the service's limit")
			return
		}
		p.waitDelay(r.Context(), time.Duration(f.Delay), write)
		if write {
			p.serveWrite(w, r, next)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) countRequest(write bool) {
	p.updateCounts(func(c *PlatformCounts) {
		if write {
			c.Writes++
		} else {
			c.Reads++
		}
	})
}

// allow reports whether a request is within the rate limit of its service.
func (p *Platform) allow(s service, f ServiceFaults, write bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.startTime)
	if write {
		return p.writeLimits[s].allow(now, f.MaxWritesPerSecond)
	}
	return p.readLimits[s].allow(now, f.MaxReadsPerSecond)
}

// failRequest fails a request the way a service that is down does. In
// DownSilent, it waits until the faults change or the client disconnects.
func failRequest(w http.ResponseWriter, r *http.Request, mode DownMode, changed <-chan struct{}) {
	switch mode {
	case DownError:
		writeProblemStatus(w, http.StatusServiceUnavailable, "the service is down")
		return
	case DownSilent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
	panic(http.ErrAbortHandler)
}

// waitDelay waits for the configured delay. If the client disconnects, a read is
// aborted, but a write still takes effect after the delay.
func (p *Platform) waitDelay(ctx context.Context, d time.Duration, write bool) {
	if d <= 0 {
		return
	}
	if write {
		ctx = context.WithoutCancel(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// serveWrite serves a write, unless a fault drops the write or its response.
func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := serviceForRequest(r)
	if p.faults.consume(func(f *PlatformFaults) *int { return &f.forService(s).DropWrites }) {
		p.updateCounts(func(c *PlatformCounts) { c.DroppedWrites++ })
		panic(http.ErrAbortHandler)
	}
	if !p.shouldDropResponse(s) {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(discardResponseWriter{header: http.Header{}}, r)
	p.updateCounts(func(c *PlatformCounts) { c.DroppedResponses++ })
	panic(http.ErrAbortHandler)
}

func (p *Platform) shouldDropResponse(s service) bool {
	if p.faults.consume(func(f *PlatformFaults) *int { return &f.forService(s).DropResponses }) {
		return true
	}
	faults := p.Faults()
	ratio := faults.forService(s).DropResponseRatio
	if ratio == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < ratio
}

// updateStaleTables copies the tables when StaleReads is switched on and discards
// the copy when it is switched off.
func (p *Platform) updateStaleTables(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !f.Table.StaleReads:
		p.staleTables = nil
	case p.staleTables == nil:
		p.staleTables = p.tables.Clone()
	}
}

// tablesForReads returns the tables that reads are served from.
func (p *Platform) tablesForReads() *tables.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleTables != nil {
		return p.staleTables
	}
	return p.tables
}

// discardResponseWriter discards the response of a write that took effect.
type discardResponseWriter struct{ header http.Header }

func (d discardResponseWriter) Header() http.Header         { return d.header }
func (d discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponseWriter) WriteHeader(int)             {}
