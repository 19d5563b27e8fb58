package standin

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"foxtailspoke/storage"
)

// Defaults of BackendOptions.
const (
	DefaultSlots            = 2
	DefaultLatency          = 5 * time.Millisecond
	DefaultAnnounceInterval = 2 * time.Second
)

// BackendOptions of a backend server stand-in. A zero field takes its
// default.
type BackendOptions struct {
	// Listen and Control are "ip:port"; empty means DefaultListen.
	Listen  string
	Control string
	// Advertise is the address to announce, if it isn't the one listened on.
	Advertise  string
	Service    string
	DataCentre string
	Region     string
	// Slots is how many requests are worked on at the same time; Queue is
	// how many more may wait. Queue 0 means as many as Slots.
	Slots int
	Queue int
	// Latency is the time that the work on one request takes.
	Latency time.Duration
	// ColdStartDuration and ColdRequests set a cold start: work takes ColdFactor times
	// as long for this time, and for this number of requests.
	ColdStartDuration time.Duration
	ColdStartRequests int
	ColdStartFactor   float64
	// Instances is where the server announces itself; nil if nowhere.
	Instances        storage.Instances
	AnnounceInterval time.Duration
	// Faults from the start.
	Faults BackendFaults
	// Seed of the random faults.
	Seed uint64
	// Log may be nil.
	Log *slog.Logger
}

// Backend is a running backend server stand-in.
type Backend struct {
	options       BackendOptions
	log           *slog.Logger
	start         time.Time
	faults        *faultSwitch[BackendFaults]
	slots         *slotPool
	executions    *executionLog
	rawCapture    *rawCapture
	workServer    *server
	controlServer *server
	announcer     *announcer

	mu              sync.Mutex
	rng             *rand.Rand
	requestsStarted int
	draining        bool
	drainingSince   time.Duration
	// recentResponses are the latest answers, to cross with others.
	recentResponses []response
}

// StartBackend starts a backend server stand-in. Close ends it at once,
// Shutdown gracefully.
func StartBackend(o BackendOptions) (*Backend, error) {
	o = o.withDefaults()
	b := &Backend{
		options:    o,
		log:        logOr(o.Log),
		start:      time.Now(),
		executions: newExecutionLog(),
		rawCapture: newRawCapture(),
		rng:        rand.New(rand.NewPCG(o.Seed, 0)),
	}
	b.slots = newSlotPool(o.Slots, o.Queue, b.now)
	b.faults = newFaultSwitch(BackendFaults.validate, func(BackendFaults) {})
	if err := b.SetFaults(o.Faults); err != nil {
		return nil, err
	}
	listener, err := listenWithFaults(orDefault(o.Listen), b.connPolicy, b.rawCapture)
	if err != nil {
		return nil, err
	}
	b.workServer = serve(listener, b.requestHandler(), b.log)
	if b.controlServer, err = startServer(orDefault(o.Control), b.controlHandler(), b.log); err != nil {
		b.workServer.close()
		return nil, err
	}
	if o.Instances != nil {
		b.announcer = startAnnouncer(o.Instances, b.instance(), o.AnnounceInterval, b.log)
	}
	return b, nil
}

// Address takes the entry instances' requests: "ip:port".
func (b *Backend) Address() string { return b.workServer.address() }

// URL of Address.
func (b *Backend) URL() string { return b.workServer.url() }

// ControlURL is where faults are switched and executions read over HTTP.
func (b *Backend) ControlURL() string { return b.controlServer.url() }

// ID is the id that the server has in the platform's list; empty if it
// doesn't announce itself.
func (b *Backend) ID() string {
	if b.announcer == nil {
		return ""
	}
	return b.announcer.current().ID
}

// Faults returns the faults in force.
func (b *Backend) Faults() BackendFaults {
	f, _ := b.faults.get()
	return f
}

// SetFaults replaces all faults.
func (b *Backend) SetFaults(f BackendFaults) error {
	return b.UpdateFaults(func(current *BackendFaults) { *current = f })
}

// UpdateFaults changes the faults by f.
func (b *Backend) UpdateFaults(f func(*BackendFaults)) error {
	return b.faults.update(func(current *BackendFaults) error {
		f(current)
		return nil
	})
}

// Executions returns the requests that the server began to work on, in that
// order, and how many more there were than it keeps.
func (b *Backend) Executions() ([]Execution, int) { return b.executions.snapshot() }

// Load returns the true load.
func (b *Backend) Load() Load { return b.slots.loadAt(b.now()) }

// Drain announces that the server leaves, and refuses new work as not run
// from now on. Work under way goes on.
func (b *Backend) Drain() {
	b.mu.Lock()
	if b.draining {
		b.mu.Unlock()
		return
	}
	b.draining = true
	b.drainingSince = b.now()
	b.mu.Unlock()
	if b.announcer != nil {
		b.announcer.report(storage.Leaving)
	}
}

// Shutdown drains, waits until the work under way has ended or the context
// has, reports the end and stops.
func (b *Backend) Shutdown(ctx context.Context) {
	b.Drain()
	b.workServer.shutdown(ctx)
	if b.announcer != nil {
		b.announcer.report(storage.Ended)
	}
	b.Close()
}

// Close ends the server and its connections at once, and reports nothing.
func (b *Backend) Close() {
	if b.announcer != nil {
		b.announcer.stop()
	}
	b.workServer.close()
	b.controlServer.close()
}

func (b *Backend) now() time.Duration { return time.Since(b.start) }

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

func (b *Backend) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

func (b *Backend) instance() storage.Instance {
	address := b.options.Advertise
	if address == "" {
		address = b.Address()
	}
	return storage.Instance{
		ID:         uuid.NewString(),
		Kind:       storage.BackendServer,
		Service:    b.options.Service,
		DataCentre: b.options.DataCentre,
		Region:     b.options.Region,
		Address:    address,
		Slots:      b.options.Slots,
		State:      storage.Live,
	}
}

func (o BackendOptions) withDefaults() BackendOptions {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Queue <= 0 {
		o.Queue = o.Slots
	}
	if o.Latency <= 0 {
		o.Latency = DefaultLatency
	}
	if o.ColdStartFactor <= 0 {
		o.ColdStartFactor = 1
	}
	if o.AnnounceInterval <= 0 {
		o.AnnounceInterval = DefaultAnnounceInterval
	}
	return o
}

func (b *Backend) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", b.faults)
	mux.HandleFunc("GET /control/executions", b.serveExecutions)
	mux.HandleFunc("GET /control/raw", b.serveRawHeaders)
	mux.HandleFunc("POST /control/secrets", b.serveWatchSecrets)
	mux.HandleFunc("GET /control/secrets", b.serveDetectedSecrets)
	mux.HandleFunc("POST /control/drain", func(w http.ResponseWriter, _ *http.Request) {
		b.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

var errInvalidSecrets = errors.New("give a JSON array of strings that aren't empty")
