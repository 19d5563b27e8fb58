package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin/tables"
)

// DownMode is how a service of the platform fails while it is down.
type DownMode string

const (
	// Up is no failure.
	Up DownMode = ""
	// DownClosed closes the connection without an answer.
	DownClosed DownMode = "closed"
	// DownSilent never answers and keeps the connection open.
	DownSilent DownMode = "silent"
	// DownError answers with status 503.
	DownError DownMode = "error"
)

// PlatformFaults are the faults that a platform stand-in can show. The zero
// value is none.
type PlatformFaults struct {
	Table     TableFaults    `json:"table"`
	Objects   ServiceFaults  `json:"objects"`
	Instances InstanceFaults `json:"instances"`
}

// ServiceFaults are those of any of the platform's three services.
type ServiceFaults struct {
	// Down is "closed", "silent" or "error"; empty when up.
	Down DownMode `json:"down"`
	// Delay before the service does anything, like "250ms". A write takes
	// effect after it also if its writer has gone away in the meantime.
	Delay config.Duration `json:"delay"`
	// LoseAnswers is for how many of the next writes the answer is lost
	// after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersRatio of writes lose their answer, from 0 to 1.
	LoseAnswersRatio float64 `json:"loseAnswersRatio"`
	// LoseWrites is how many of the next writes are lost before they take
	// effect. Their writers see what they see by LoseAnswers.
	LoseWrites int `json:"loseWrites"`
}

// TableFaults are those of the table service.
type TableFaults struct {
	ServiceFaults
	// OldCopy answers reads from a copy of the tables made when this was
	// switched on. It breaks what the platform promises.
	OldCopy bool `json:"oldCopy"`
}

// InstanceFaults are those of the list of instances.
type InstanceFaults struct {
	ServiceFaults
	// Lag is how late the list shows a change, like "2s".
	Lag config.Duration `json:"lag"`
	// Frozen stops the list from showing anything new.
	Frozen bool `json:"frozen"`
}

func (f PlatformFaults) validate() error {
	for _, s := range []ServiceFaults{f.Table.ServiceFaults, f.Objects, f.Instances.ServiceFaults} {
		switch s.Down {
		case Up, DownClosed, DownSilent, DownError:
		default:
			return errors.Newf("down: %q is none of closed, silent, error", s.Down)
		}
		if s.Delay < 0 || s.LoseAnswers < 0 || s.LoseWrites < 0 {
			return errors.New("delay, loseAnswers and loseWrites can't be negative")
		}
		if !(s.LoseAnswersRatio >= 0 && s.LoseAnswersRatio <= 1) {
			return errors.New("loseAnswersRatio must be from 0 to 1")
		}
	}
	if f.Instances.Lag < 0 {
		return errors.New("lag can't be negative")
	}
	return nil
}

// service returns the part of the faults that a request meets.
func (f *PlatformFaults) service(path string) *ServiceFaults {
	switch {
	case strings.HasPrefix(path, "/v1/objects"):
		return &f.Objects
	case strings.HasPrefix(path, "/v1/instances"):
		return &f.Instances.ServiceFaults
	default:
		return &f.Table.ServiceFaults
	}
}

// maxAPIBody bounds a request to the platform's API, in bytes.
const maxAPIBody = 64 << 20

// withFaults puts the faults in front of the API.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		p.count(func(c *PlatformCounts) {
			if write {
				c.Writes++
			} else {
				c.Reads++
			}
		})
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAPIBody))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		faults, changed := p.faults.get()
		f := *faults.service(r.URL.Path)
		if f.Down != Up {
			fail(w, r, f.Down, changed)
			return
		}
		p.delay(r.Context(), time.Duration(f.Delay), write)
		if write {
			p.serveWrite(w, r, next)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fail answers as a service that is down.
func fail(w http.ResponseWriter, r *http.Request, mode DownMode, changed <-chan struct{}) {
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

// delay waits. The wait for a write doesn't end when its writer goes away.
func (p *Platform) delay(ctx context.Context, d time.Duration, write bool) {
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

// serveWrite does a write, unless it is to be lost, and answers, unless the
// answer is.
func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, next http.Handler) {
	path := r.URL.Path
	if p.faults.take(func(f *PlatformFaults) *int { return &f.service(path).LoseWrites }) {
		p.count(func(c *PlatformCounts) { c.LostWrites++ })
		panic(http.ErrAbortHandler)
	}
	if !p.loseAnswer(path) {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(discardAnswer{header: http.Header{}}, r)
	p.count(func(c *PlatformCounts) { c.LostAnswers++ })
	panic(http.ErrAbortHandler)
}

func (p *Platform) loseAnswer(path string) bool {
	if p.faults.take(func(f *PlatformFaults) *int { return &f.service(path).LoseAnswers }) {
		return true
	}
	faults := p.Faults()
	ratio := faults.service(path).LoseAnswersRatio
	if ratio == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64() < ratio
}

// keepOldCopy makes the copy that reads are answered from while OldCopy is on.
func (p *Platform) keepOldCopy(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !f.Table.OldCopy:
		p.oldCopy = nil
	case p.oldCopy == nil:
		p.oldCopy = p.tables.Copy()
	}
}

// readable returns the tables that reads are answered from.
func (p *Platform) readable() *tables.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.oldCopy != nil {
		return p.oldCopy
	}
	return p.tables
}

// discardAnswer takes an answer that nobody gets.
type discardAnswer struct{ header http.Header }

func (d discardAnswer) Header() http.Header         { return d.header }
func (d discardAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (d discardAnswer) WriteHeader(int)             {}
