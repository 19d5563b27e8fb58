// Package edge implements one instance of the fleet on the users' platform. It
// accepts callers' requests, chooses backend servers for them, and shares its
// observations with the other instances.
//
// Decisions are made by packages that do no I/O: routing, discovery, placement,
// usage, retry and freshness. This package supplies their inputs and carries out
// their results. A single lock guards all of their state: a decision takes a few
// microseconds, and an instance has one core and some tens of requests per second.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"foxtailspoke/admission"
	"foxtailspoke/backoff"
	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/entry/clock"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/freshness"
	"foxtailspoke/logging"
	"foxtailspoke/mechanism"
	"foxtailspoke/memory"
	"foxtailspoke/pipeline"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/quarantine"
	"foxtailspoke/reach"
	"foxtailspoke/replica"
	"foxtailspoke/retry"
	"foxtailspoke/routing"
	"foxtailspoke/throttle"
	"foxtailspoke/upstream"
	"foxtailspoke/usage"
	"foxtailspoke/warmup"
)

// Edge is one instance.
type Edge struct {
	settings     settings.Settings
	settingsFile string
	log          *slog.Logger
	logWriter    *logging.Writer
	budget       *logging.RateLimiter
	clock        clock.Clock
	store        *platform.Store
	pool         *upstream.Pool
	serverDialer upstream.Dialer
	// peerPool has the connections to instances that forward requests.
	peerPool *upstream.Pool
	// forwarding is the number of other instances' requests in progress.
	forwarding atomic.Int64
	metrics    *metrics
	socket     *net.UDPConn
	ports      ports
	supervisor *suture.Supervisor

	self  uint32
	epoch uint32
	// startedAt is the time at which the process started.
	startedAt time.Duration
	peerPort  uint16
	// forwardingPort is the port on which all instances accept requests to forward.
	forwardingPort uint16
	callerPort     uint16
	// topology maps each data centre to its region.
	topology routing.Topology
	// mechanisms holds the mechanisms that a trial has disabled.
	mechanisms mechanism.Disabled

	// stopping is set when the process receives the signal to stop.
	stopping atomic.Bool
	// closing is set when a stopping instance no longer accepts requests.
	closing      atomic.Bool
	callerServer *pipeline.Server
	// forwardingServer serves other instances' requests.
	forwardingServer *pipeline.Server
	// heads counts the memory of the heads of all requests.
	heads *memory.Heads
	// pollNow wakes the poller.
	pollNow chan struct{}
	// fetchNow wakes the configuration fetcher.
	fetchNow chan struct{}
	// verifyNow wakes the verifier of the tables.
	verifyNow chan struct{}
	// storeSuspectsNow wakes the writer of suspects.
	storeSuspectsNow chan struct{}
	// storeReadable is closed when this instance may read the store.
	storeReadable chan struct{}
	joinOnce      sync.Once

	mu    sync.Mutex
	state state
}

// state holds everything that decisions depend on. Edge.mu guards it.
type state struct {
	bounds freshness.Bounds

	table *routing.Table
	// configInForce is the configuration from which table was built, as the
	// operators wrote it.
	configInForce []byte
	// configUnreadable is set if the newest configuration in the store could not be
	// parsed. The configuration in force is then older, and its age cannot be
	// proved.
	configUnreadable bool
	splitter         routing.Splitter

	// era is the store's era in the newest response, valid if eraKnown is set.
	// eraStart is when that era began on the store's clock, or 0 if it began before
	// this instance started.
	era      uint64
	eraKnown bool
	eraStart time.Duration
	// restoredUntil is the time until which entries that the store had confirmed may
	// be missing after it was restored from a copy.
	restoredUntil time.Duration
	clock         freshness.StoreClock
	poll          freshness.PollSchedule
	config        *replica.Table
	servers       *replica.Table
	instances     *replica.Table
	recent        [evidence.TableCount]replica.RecentChanges
	// announced has the newest versions that other instances have announced.
	announced [evidence.TableCount]replica.Announced
	// stalls detects that the process has not run for a while.
	stalls freshness.StallDetector
	// lease decides whether requests may be handled by the copies of the tables.
	lease freshness.Lease
	// leaseChanged is closed when the lease has changed; nil if no request waits.
	leaseChanged chan struct{}
	// unfetchedConfig is the newest update about the configuration table that names
	// a row that this instance has yet to fetch.
	unfetchedConfig evidence.TableUpdate
	// configProof is the store's timestamp up to which the configuration in force is
	// proved to be the newest, valid if configProved is set.
	configProof  time.Duration
	configProved bool
	// serversProof is the last time at which the server list was known to be
	// complete.
	serversProof time.Duration
	// outageEnd is the time at which the store last returned after an outage.
	outageEnd time.Duration
	// lastOwnRead is when this instance last read all due tables from the store, 0 if it
	// hasn't.
	lastOwnRead time.Duration
	// lastReader is the instance that is known to have read the store most recently.
	lastReader uint32
	// missedServersDue is when to read server changes that this instance has missed,
	// or 0 if it has missed none.
	missedServersDue  time.Duration
	storeUnavailable  bool
	nextInstancesRead time.Duration
	// loggedDroppedLines is the number of dropped log lines in the last log line
	// about them.
	loggedDroppedLines   uint64
	droppedLinesLoggedAt time.Duration

	serverList   *discovery.List
	placer       *placement.Placer
	usage        *usage.Counters
	budgets      *retry.FleetBudgets
	strayRetries retry.StrayRetries
	routes       map[string]*routeStats

	messenger *fleet.Messenger
	contact   contactCache
	// roundTimer fires at roundDue, when messenger has work to do. roundDue is 0 if
	// the timer is stopped.
	roundTimer *time.Timer
	roundDue   time.Duration
	// announcedReady is set once the other instances were told that this one is
	// ready.
	announcedReady bool
	ownOutstanding map[uint32]uint16
	// memory has the bytes of bodies that this instance holds.
	memory *memory.Account
	// serverBytes has the bytes of requests that servers hold, ownBytes this instance's part.
	serverBytes *memory.Servers
	ownBytes    map[uint32]int64

	evacuations discovery.Evacuations
	// limiter bounds the rate of requests to cold servers, shared among holders.
	limiter *warmup.Limiter
	holders []uint32
	// throttle keeps the fleet within the limits that servers set.
	throttle *throttle.Limiter
	// backoffs holds the servers that asked this instance to back off.
	backoffs *backoff.Tracker
	// locality has the plans of requests that leave the data centre, nil if there are none.
	locality *localityPlans
	// reach tracks whether this instance can connect to backend servers.
	reach *reach.Tracker
	// quarantine holds the requests under which backend servers ended.
	quarantine *quarantine.Tracker
	// admission rejects requests to services whose servers are full; admissionLogged has the
	// services for which that was logged.
	admission       *admission.Controller
	admissionLogged map[string]loggedAdmission
	// unstoredSuspects has the requests whose rows in the store must be written.
	unstoredSuspects map[quarantine.Fingerprint]struct{}
}

// routeStats holds the moving averages of one route's requests.
type routeStats struct {
	// work is the average time of a request.
	work time.Duration
	// kb is the average size of request and response in KiB.
	kb float64
}

// Option changes an instance before it starts.
type Option func(*Edge)

// WithServerDialer replaces the function that opens connections to backend servers.
func WithServerDialer(d upstream.Dialer) Option { return func(e *Edge) { e.serverDialer = d } }

// New returns an instance that listens on its addresses. It serves requests once
// Run is called.
func New(file string, s settings.Settings, lines *logging.Writer, options ...Option) (*Edge, error) {
	self, err := parseIPv4(s.IP)
	if err != nil {
		return nil, err
	}
	e := &Edge{
		settings:      s,
		mechanisms:    s.Trial.Disabled(),
		settingsFile:  file,
		logWriter:     lines,
		log:           slog.New(slog.NewJSONHandler(lines, nil)).With(slog.String("instance", s.Name)),
		budget:        logging.NewRateLimiter(s.Log.LinesPerSecond),
		clock:         clock.New(),
		store:         platform.NewStore(s.Store.Address),
		self:          self,
		topology:      s.Regions,
		epoch:         newEpoch(),
		pollNow:       make(chan struct{}, 1),
		fetchNow:      make(chan struct{}, 1),
		verifyNow:     make(chan struct{}, 1),
		storeReadable: make(chan struct{}),

		storeSuspectsNow: make(chan struct{}, 1),
	}
	e.startedAt = e.clock.Now()
	for _, o := range options {
		o(e)
	}
	e.pool = upstream.NewPool(e.serverDialer, e.recordDial)
	e.peerPool = upstream.NewPool(e.dialPeer, nil)
	e.limitServerConnections()
	e.heads = memory.NewHeads(machineBytes(s))
	e.callerServer, e.forwardingServer = e.newCallerServer(), e.newForwardingServer()
	e.metrics = newMetrics(e)
	e.state = state{
		bounds:         s.Bounds.Freshness(),
		splitter:       routing.Splitter{Offset: rand.Float64()},
		config:         replica.NewTable(),
		servers:        replica.NewTable(),
		instances:      replica.NewTable(),
		serverList:     discovery.NewList(),
		placer:         placement.NewWithout(s.Trial.Disabled()),
		usage:          newUsageCounters(s.Trial.Disabled()),
		budgets:        newRetryBudgets(retry.Run{Instance: self, Epoch: e.epoch}, s.FirstStart, e.startedAt),
		routes:         make(map[string]*routeStats),
		ownOutstanding: make(map[uint32]uint16),
		serverBytes:    memory.NewServers(),
		ownBytes:       make(map[uint32]int64),
		memory:         memory.NewAccount(machineBytes(s)),
		limiter:        warmup.NewLimiter(self),
		throttle:       throttle.NewLimiter(self),
		backoffs:       backoff.NewTracker(),
		reach:          reach.NewTracker(),
		locality:       newLocalityPlans(s),
		quarantine:     quarantine.NewTracker(s.FirstStart, e.startedAt),
		admission:      admission.New(),

		admissionLogged: make(map[string]loggedAdmission),

		unstoredSuspects: make(map[quarantine.Fingerprint]struct{}),
	}
	e.state.placer.SetWarmUpLimiter(e.state.limiter)
	e.state.placer.SetRateLimiter(e.state.throttle)
	e.state.placer.SetBackoffs(e.state.backoffs)
	e.state.messenger = fleet.NewMessenger(fleet.Settings{
		Self: e.selfMember(), Epoch: e.epoch, Seeds: e.seedIDs(), Leaving: func() bool { return !e.readyLocked() }, Stopping: e.stopping.Load,
		Partitioned: e.state.reach.Partitioned, ServiceAttempts: e.recentServiceAttempts, SuspectRequests: e.recentSuspectRequests,
	})
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.addServices()
	return e, nil
}

// newEpoch returns a random number that identifies this run of the instance. The
// start time is not sufficient: a killed process may restart within the same
// second, and clocks may jump back. The other instances would then drop its
// messages as duplicates until it had sent as many as before the restart.
func newEpoch() uint32 { return rand.Uint32() }

// Run serves until the context ends and then performs a planned stop.
func (e *Edge) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := e.supervisor.ServeBackground(run)
	event.EdgeStarted.Log(e.log, slog.String("callers", e.settings.Listen.Callers),
		slog.String("data_centre", e.settings.DataCentre), slog.String("store", e.settings.Store.Address))
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	e.stop()
	cancel()
	select {
	case <-done:
	case <-time.After(shutdownWait):
	}
	e.logWriter.Flush()
	return nil
}

// now returns the time on the instance's clock, which keeps running while the
// machine is suspended.
func (e *Edge) now() time.Duration { return e.clock.Now() }

// ports holds the listeners of an instance.
type ports struct {
	callers, readiness, directory, metrics, snapshots, forwarding net.Listener
}

func (e *Edge) listen() error {
	l := e.settings.Listen
	for _, p := range []struct {
		into    *net.Listener
		address string
	}{
		{&e.ports.callers, l.Callers},
		{&e.ports.readiness, l.Readiness},
		{&e.ports.directory, l.Directory},
		{&e.ports.metrics, l.Metrics},
		{&e.ports.snapshots, l.Peers},
		{&e.ports.forwarding, l.Forwarding},
	} {
		listener, err := net.Listen("tcp4", p.address)
		if err != nil {
			return errors.Wrapf(err, "listening on %s", p.address)
		}
		*p.into = listener
	}
	peers := netip.MustParseAddrPort(e.ports.snapshots.Addr().String())
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peers))
	if err != nil {
		return errors.Wrapf(err, "listening on %s", peers)
	}
	e.socket = socket
	e.peerPort = peers.Port()
	e.forwardingPort = netip.MustParseAddrPort(e.ports.forwarding.Addr().String()).Port()
	e.callerPort = netip.MustParseAddrPort(e.ports.callers.Addr().String()).Port()
	return nil
}

// addServices adds the services to the supervisor tree.
func (e *Edge) addServices() {
	e.supervisor = suture.New("edge", suture.Spec{
		EventHook: func(ev suture.Event) {
			event.ComponentFailed.Log(e.log, slog.String("error", ev.String()))
		},
		Timeout: time.Second,
	})
	e.supervisor.Add(namedService{"log", e.logWriter.Serve})
	e.supervisor.Add(namedService{"receiver", e.receiveDatagrams})
	e.supervisor.Add(namedService{"heart", e.sendHeartbeats})
	e.supervisor.Add(namedService{"poller", e.pollStore})
	e.supervisor.Add(namedService{"fetcher", e.fetchConfig})
	e.supervisor.Add(namedService{"verifier", e.verifyTables})
	e.supervisor.Add(namedService{"register", e.registerInstances})
	e.supervisor.Add(namedService{"suspects", e.storeSuspects})
	e.supervisor.Add(namedService{"snapshots", e.serveSnapshots})
	e.supervisor.Add(namedService{"history", e.adoptHistory})
	e.supervisor.Add(namedService{"forwarding", e.serveForwarding})
	e.supervisor.Add(namedService{"settings", e.watchSettings})
	e.supervisor.Add(namedService{"callers", e.serveCallers})
	e.supervisor.Add(namedService{"readiness", e.serveHTTP(e.ports.readiness, e.handleReadiness, readinessShare)})
	e.supervisor.Add(namedService{"directory", e.serveHTTP(e.ports.directory, e.handleDirectory, directoryShare)})
	operators := e.metrics.handler(e.handleStatus, &configurationHandler{edge: e})
	e.supervisor.Add(namedService{"metrics", e.serveHTTP(e.ports.metrics, operators.ServeHTTP, metricsShare)})
}

// namedService is a service of the supervisor tree with a name.
type namedService struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p namedService) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the name that the supervisor logs.
func (p namedService) String() string { return p.name }
