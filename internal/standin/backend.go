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

// Defaults for BackendOptions.
const (
	DefaultSlots            = 2
	DefaultLatency          = 5 * time.Millisecond
	DefaultAnnounceInterval = 2 * time.Second
)

// BackendOptions configures a Backend. A field with the zero value gets its
// default.
type BackendOptions struct {
	// ListenAddress and ControlAddress are the addresses, "ip:port", for requests
	// of entry instances and for the control API. Empty means
	// DefaultListenAddress.
	ListenAddress  string
	ControlAddress string
	// AdvertiseAddress is the address to announce if it differs from the address
	// that the server listens on.
	AdvertiseAddress string
	Service          string
	DataCentre       string
	Region           string
	// Slots is the maximum number of requests executed concurrently, QueueSize
	// the maximum number of requests waiting for a slot. QueueSize 0 means as
	// many as Slots.
	Slots     int
	QueueSize int
	// Latency is the execution time of a request without faults.
	Latency time.Duration
	// ColdStartDuration and ColdStartRequests simulate a cold start: Latency is
	// multiplied by ColdStartFactor for that time after the start and for that
	// number of first requests. ColdStartFactor 0 means 1.
	ColdStartDuration time.Duration
	ColdStartRequests int
	ColdStartFactor   float64
	// Instances is the platform's list of instances, to which the server
	// announces itself. If nil, the server is not announced.
	Instances        storage.Instances
	AnnounceInterval time.Duration
	// Faults are the initial faults.
	Faults BackendFaults
	// Seed seeds the random choice of faults.
	Seed uint64
	// Log may be nil, which discards all messages.
	Log *slog.Logger
}

// Backend is a running stand-in for a backend server.
type Backend struct {
	options       BackendOptions
	log           *slog.Logger
	startTime     time.Time
	faults        *faultStore[BackendFaults]
	slots         *slotPool
	executions    *executionLog
	rawCapture    *rawCapture
	requestServer *server
	controlServer *server
	announcer     *announcer

	mu              sync.Mutex
	rng             *rand.Rand
	requestsStarted int
	draining        bool
	drainingSince   time.Duration
	// endOnce guards ended, which is closed when the server has ended under a request.
	endOnce sync.Once
	ended   chan struct{}
	// recentResponses holds the latest responses, which MismatchedRatio sends
	// in response to other requests.
	recentResponses []response
}

// StartBackend starts a stand-in for a backend server. Close stops it
// immediately, Shutdown gracefully.
func StartBackend(o BackendOptions) (*Backend, error) {
	o = o.withDefaults()
	b := &Backend{
		options:    o,
		log:        loggerOrDiscard(o.Log),
		startTime:  time.Now(),
		executions: newExecutionLog(),
		rawCapture: newRawCapture(),
		rng:        rand.New(rand.NewPCG(o.Seed, 0)),
		ended:      make(chan struct{}),
	}
	b.slots = newSlotPool(o.Slots, o.QueueSize, b.now)
	b.faults = newFaultStore(BackendFaults.validate, func(BackendFaults) {})
	if err := b.SetFaults(o.Faults); err != nil {
		return nil, err
	}
	listener, err := listenWithFaults(listenAddressOrDefault(o.ListenAddress), b.connPolicy, b.rawCapture)
	if err != nil {
		return nil, err
	}
	b.requestServer = startServerOnListener(listener, b.requestHandler(), b.log)
	if b.controlServer, err = startServer(listenAddressOrDefault(o.ControlAddress), b.controlHandler(), b.log); err != nil {
		b.requestServer.close()
		return nil, err
	}
	if o.Instances != nil {
		b.announcer = startAnnouncer(o.Instances, b.newInstance(), o.AnnounceInterval, b.log)
	}
	return b, nil
}

// Address returns the address, "ip:port", for requests of entry instances.
func (b *Backend) Address() string { return b.requestServer.address() }

// URL returns the base URL for requests of entry instances.
func (b *Backend) URL() string { return b.requestServer.url() }

// ControlURL returns the base URL of the control API.
func (b *Backend) ControlURL() string { return b.controlServer.url() }

// ID returns the server's ID in the platform's list of instances. It is empty
// if the server is not announced.
func (b *Backend) ID() string {
	if b.announcer == nil {
		return ""
	}
	return b.announcer.currentInstance().ID
}

// Faults returns the current faults. It ignores FlapPeriod: faults are included
// in their inactive periods too.
func (b *Backend) Faults() BackendFaults {
	f, _ := b.faults.get()
	return f
}

// SetFaults replaces all faults.
func (b *Backend) SetFaults(f BackendFaults) error {
	return b.UpdateFaults(func(current *BackendFaults) { *current = f })
}

// UpdateFaults applies f to the faults. If the result is invalid, the faults
// stay as they are.
func (b *Backend) UpdateFaults(f func(*BackendFaults)) error {
	return b.faults.update(func(current *BackendFaults) error {
		f(current)
		return nil
	})
}

// Executions returns the recorded executions in the order of their start, and
// the number of executions dropped because the log was full.
func (b *Backend) Executions() ([]Execution, int) { return b.executions.snapshot() }

// Load returns the actual current load, irrespective of ReportLag and
// ReportZeroLoad.
func (b *Backend) Load() Load { return b.slots.loadAt(b.now()) }

// Drain announces that the server is leaving and rejects all further requests
// as not executed. Executions in progress continue.
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
		b.announcer.announceState(storage.Leaving)
	}
}

// Shutdown drains the server, waits until the executions in progress have
// ended or ctx is done, announces the end and stops the server.
func (b *Backend) Shutdown(ctx context.Context) {
	b.Drain()
	b.requestServer.shutdown(ctx)
	if b.announcer != nil {
		b.announcer.announceState(storage.Ended)
	}
	b.Close()
}

// Close stops the server and closes its connections immediately, without
// announcing the end.
func (b *Backend) Close() {
	if b.announcer != nil {
		b.announcer.stop()
	}
	b.requestServer.close()
	b.controlServer.close()
}

// Ended is closed when the server has ended under a request; see BackendFaults.FatalPath.
func (b *Backend) Ended() <-chan struct{} { return b.ended }

// end ends the server like a crash of its process: nothing is announced. It doesn't wait, as a
// request in progress calls it.
func (b *Backend) end() {
	b.endOnce.Do(func() {
		go func() {
			defer close(b.ended)
			if b.announcer != nil {
				b.announcer.stop()
			}
			b.requestServer.close()
		}()
	})
}

// now returns the time since the start of the server.
func (b *Backend) now() time.Duration { return time.Since(b.startTime) }

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

// newInstance returns the instance to announce, with a new ID.
func (b *Backend) newInstance() storage.Instance {
	address := b.options.AdvertiseAddress
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
	if o.QueueSize <= 0 {
		o.QueueSize = o.Slots
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

var errInvalidSecrets = errors.New("secrets must be a JSON array of non-empty strings")
