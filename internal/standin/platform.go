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

// DefaultListenAddress takes a free port on the loopback interface.
const DefaultListenAddress = "127.0.0.1:0"

// PlatformOptions of a platform stand-in.
type PlatformOptions struct {
	// Listen and Control are "ip:port"; empty means DefaultListen.
	Listen  string
	Control string
	// InstanceTimeout is how long an instance may be silent before the list shows
	// it as ended; 0 means for ever.
	InstanceTimeout time.Duration
	// Faults from the start.
	Faults PlatformFaults
	// Seed of the random faults.
	Seed uint64
	// Log may be nil.
	Log *slog.Logger
}

// Platform is a running platform stand-in: tables, objects and the list of
// instances in memory, served over the API of api/platform.
type Platform struct {
	faults    *faultSwitch[PlatformFaults]
	tables    *tables.Store
	objects   *objectStore
	instances *instances.List
	startTime time.Time
	api       *server
	control   *server

	mu          sync.Mutex
	rand        *rand.Rand
	staleTables *tables.Store
	counts      PlatformCounts
	// readLimits and writeLimits are by service.
	readLimits, writeLimits [serviceCount]rateLimit
}

// PlatformCounts are the requests seen since the start.
type PlatformCounts struct {
	Reads            int `json:"reads"`
	Writes           int `json:"writes"`
	DroppedResponses int `json:"lostAnswers"`
	DroppedWrites    int `json:"lostWrites"`
}

// StartPlatform starts a platform stand-in. Close ends it.
func StartPlatform(o PlatformOptions) (*Platform, error) {
	p := &Platform{
		tables:    tables.New(),
		objects:   newObjectStore(),
		instances: instances.New(o.InstanceTimeout),
		startTime: time.Now(),
		rand:      rand.New(rand.NewPCG(o.Seed, 0)),
	}
	p.faults = newFaultSwitch(PlatformFaults.validate, p.updateStaleTables)
	if err := p.SetFaults(o.Faults); err != nil {
		return nil, err
	}
	api, err := oas.NewServer(platformHandler{p}, oas.WithErrorHandler(writeProblem))
	if err != nil {
		return nil, err
	}
	log := logOr(o.Log)
	if p.api, err = startServer(orDefault(o.Listen), p.withFaults(api), log); err != nil {
		return nil, err
	}
	if p.control, err = startServer(orDefault(o.Control), p.controlHandler(), log); err != nil {
		p.api.close()
		return nil, err
	}
	return p, nil
}

// URL of the API, for the client.
func (p *Platform) URL() string { return p.api.url() }

// Address of the API: "ip:port".
func (p *Platform) Address() string { return p.api.address() }

// ControlURL is where the faults are switched over HTTP.
func (p *Platform) ControlURL() string { return p.control.url() }

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	f, _ := p.faults.get()
	return f
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) error {
	return p.UpdateFaults(func(current *PlatformFaults) { *current = f })
}

// UpdateFaults changes the faults by f.
func (p *Platform) UpdateFaults(f func(*PlatformFaults)) error {
	return p.faults.update(func(current *PlatformFaults) error {
		f(current)
		return nil
	})
}

// Tables are the tables themselves, for tests that look at them or change
// them past all faults.
func (p *Platform) Tables() *tables.Store { return p.tables }

// Object returns an object past all faults.
func (p *Platform) Object(name string) ([]byte, bool) { return p.objects.get(name) }

// ObjectNames returns the names of all objects past all faults, ascending.
func (p *Platform) ObjectNames() []string { return p.objects.list("") }

// Counts returns the requests seen since the start.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close ends the stand-in and all its connections.
func (p *Platform) Close() {
	p.api.close()
	p.control.close()
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

func orDefault(listen string) string {
	if listen == "" {
		return DefaultListenAddress
	}
	return listen
}
