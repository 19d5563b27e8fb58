package standin

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/internal/standin/instances"
	"foxtailspoke/internal/standin/tables"
)

// DefaultListenAddress selects a free port on the loopback interface.
const DefaultListenAddress = "127.0.0.1:0"

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// ListenAddress and ControlAddress are the addresses of the API and the
	// control API, "ip:port"; empty means DefaultListenAddress.
	ListenAddress  string
	ControlAddress string
	// InstanceTimeout is the time without an announcement after which the
	// list of instances shows an instance as ended; 0 means never.
	InstanceTimeout time.Duration
	// Faults are the initial faults.
	Faults PlatformFaults
	// Seed seeds the random choice of faults.
	Seed uint64
	// Log may be nil, which discards all messages.
	Log *slog.Logger
}

// Platform is a running stand-in for the platform: it serves the API of
// api/platform from in-memory tables, objects and a list of instances.
type Platform struct {
	faults        *faultStore[PlatformFaults]
	tables        *tables.Store
	objects       *objectStore
	instances     *instances.Registry
	startTime     time.Time
	apiServer     *server
	controlServer *server

	mu          sync.Mutex
	rng         *rand.Rand
	staleTables *tables.Store
	counts      PlatformCounts
	// readLimits and writeLimits are indexed by service.
	readLimits, writeLimits [serviceCount]rateLimit
}

// PlatformCounts counts requests since the start of the stand-in.
type PlatformCounts struct {
	Reads            int `json:"reads"`
	Writes           int `json:"writes"`
	DroppedResponses int `json:"lostAnswers"`
	DroppedWrites    int `json:"lostWrites"`
}

// StartPlatform starts a stand-in for the platform. Close stops it.
func StartPlatform(o PlatformOptions) (*Platform, error) {
	p := &Platform{
		tables:    tables.New(),
		objects:   newObjectStore(),
		instances: instances.New(o.InstanceTimeout),
		startTime: time.Now(),
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
	}
	p.faults = newFaultStore(PlatformFaults.validate, p.updateStaleTables)
	if err := p.SetFaults(o.Faults); err != nil {
		return nil, err
	}
	api, err := oas.NewServer(platformHandler{p}, oas.WithErrorHandler(writeProblem))
	if err != nil {
		return nil, err
	}
	log := loggerOrDiscard(o.Log)
	if p.apiServer, err = startServer(listenAddressOrDefault(o.ListenAddress), p.withFaults(api), log); err != nil {
		return nil, err
	}
	if p.controlServer, err = startServer(listenAddressOrDefault(o.ControlAddress), p.controlHandler(), log); err != nil {
		p.apiServer.close()
		return nil, err
	}
	return p, nil
}

// URL returns the base URL of the API.
func (p *Platform) URL() string { return p.apiServer.url() }

// Address returns the address of the API: "ip:port".
func (p *Platform) Address() string { return p.apiServer.address() }

// ControlURL returns the base URL of the control API.
func (p *Platform) ControlURL() string { return p.controlServer.url() }

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults {
	f, _ := p.faults.get()
	return f
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) error {
	return p.UpdateFaults(func(current *PlatformFaults) { *current = f })
}

// UpdateFaults applies f to the faults. If the result is invalid, the faults
// stay as they are.
func (p *Platform) UpdateFaults(f func(*PlatformFaults)) error {
	return p.faults.update(func(current *PlatformFaults) error {
		f(current)
		return nil
	})
}

// Tables returns the tables, which tests can read and change irrespective of the
// faults.
func (p *Platform) Tables() *tables.Store { return p.tables }

// Object returns an object irrespective of the faults.
func (p *Platform) Object(name string) ([]byte, bool) { return p.objects.get(name) }

// ObjectNames returns the names of all objects in ascending order, irrespective
// of the faults.
func (p *Platform) ObjectNames() []string { return p.objects.names("") }

func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close stops the stand-in and closes all its connections.
func (p *Platform) Close() {
	p.apiServer.close()
	p.controlServer.close()
}

func (p *Platform) updateCounts(f func(*PlatformCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", p.faults)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counts())
	})
	mux.HandleFunc("GET /control/revisions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.tables.Revisions())
	})
	return mux
}

func listenAddressOrDefault(address string) string {
	if address == "" {
		return DefaultListenAddress
	}
	return address
}
