// Package edge is one instance of the fleet on the users' platform: it takes
// callers' requests, chooses backend servers for them, and shares what it
// learns with the other instances.
//
// The decisions are made by packages without input or output: routing,
// discovery, placement, usage, retry, freshness. This package feeds them and
// does what they say. All of their state is behind one lock: a decision takes
// some microseconds, and an instance has one core and some tens of requests a
// second.
package edge

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/entry/clock"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/freshness"
	"foxtailspoke/logging"
	"foxtailspoke/mechanism"
	"foxtailspoke/pipeline"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
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
	settings settings.Settings
	file     string
	log      *slog.Logger
	lines    *logging.Writer
	budget   *logging.Budget
	clock    clock.Clock
	store    *platform.Store
	pool     *upstream.Pool
	metrics  *metrics
	socket   *net.UDPConn
	ports    ports
	tree     *suture.Supervisor

	self       uint32
	epoch      uint32
	peerPort   uint16
	callerPort uint16
	// topology is the region of each data centre.
	topology routing.Topology
	// mechanisms are the mechanisms that a trial has switched mechanisms.
	mechanisms mechanism.Off

	// stopping is set by the signal to stop.
	stopping atomic.Bool
	// closing is set when a stopping instance takes no more requests.
	closing atomic.Bool
	callers *pipeline.Server
	// pollNow wakes the poller.
	pollNow chan struct{}
	// fetchNow wakes the fetcher of the configuration.
	fetchNow chan struct{}
	// storeReadable is closed when the store may be read.
	storeReadable chan struct{}
	joinOnce      sync.Once

	mu    sync.Mutex
	state state
}

// state is all that decisions are made on, guarded by Edge.mu.
type state struct {
	bounds freshness.Bounds

	table *routing.Table
	// configInForce is the configuration that table was made of, as operators
	// wrote it.
	configInForce []byte
	// configUnreadable says that the newest configuration in the store couldn't be
	// understood: what is in force is older, and its age can't be proved.
	configUnreadable bool
	split            routing.Splitter

	// era of the store in the newest answer; eraKnown says that there was one.
	// It began at eraSince of the store's clock, 0 if that was before this
	// instance started.
	era      uint64
	eraKnown bool
	eraStart time.Duration
	// restoredUntil is how long what the store had confirmed may be missing
	// since it came back from a copy.
	restoredUntil time.Duration
	clock         freshness.StoreClock
	poll          freshness.PollSchedule
	config        *replica.Table
	servers       *replica.Table
	instances     *replica.Table
	recent        [evidence.TableCount]replica.RecentChanges
	// announcedConfig is the newest version of the configuration's row that another
	// instance told of; its content comes by fetchConfig.
	announcedConfig replica.Position
	// announcedServers is the newest version of the list of servers that another
	// instance told of.
	announcedServers replica.Position
	// configProof is the store's stamp up to which the configuration in force
	// is proved to be the newest.
	configProof  time.Duration
	configProved bool
	// serversProof is when the list of servers was last known to be complete.
	serversProof time.Duration
	// outageEnd is when the store last came back after an outage.
	outageEnd time.Duration
	// lastReader is the instance that read the store last, as far as is known.
	lastReader uint32
	// missedServersDue is when to read the changes of the servers that were missed; 0
	// if none were.
	missedServersDue  time.Duration
	storeUnavailable  bool
	nextInstancesRead time.Duration
	// leftOut is the number of log lines left out that was logged last.
	leftOut   uint64
	leftOutAt time.Duration

	serverList *discovery.List
	placer     *placement.Placer
	usage      *usage.Counters
	budgets    map[string]*retry.Shared
	routes     map[string]*routeStats

	messenger *fleet.Messenger
	// roundTimer goes off when messenger has something to do, at roundsAt; 0 if it
	// is stopped.
	roundTimer *time.Timer
	roundDue   time.Duration
	// announcedReady says that the others were told that this instance is ready.
	announcedReady bool
	ownOutstanding map[uint32]uint16

	evacuations discovery.Evacuations
	// limiter bounds what cold servers get, shared among holders.
	limiter *warmup.Limiter
	holders []uint32
	// throttle keeps the fleet within the limits that servers name.
	throttle *throttle.Limiter
}

// routeStats is what an instance knows of one route's requests.
type routeStats struct {
	// work is the usual time of a request.
	work time.Duration
	// kb is the usual size of request and answer.
	kb float64
}

// New returns an instance that listens on its addresses and serves once Run
// is called.
func New(file string, s settings.Settings, lines *logging.Writer) (*Edge, error) {
	self, err := parseIPv4(s.IP)
	if err != nil {
		return nil, err
	}
	e := &Edge{
		settings:      s,
		mechanisms:    s.Trial.Disabled(),
		file:          file,
		lines:         lines,
		log:           slog.New(slog.NewJSONHandler(lines, nil)).With(slog.String("instance", s.Name)),
		budget:        logging.NewBudget(s.Log.LinesPerSecond),
		clock:         clock.New(),
		store:         platform.NewStore(s.Store.Address),
		pool:          upstream.NewPool(),
		self:          self,
		topology:      s.Regions,
		epoch:         newEpoch(),
		pollNow:       make(chan struct{}, 1),
		fetchNow:      make(chan struct{}, 1),
		storeReadable: make(chan struct{}),
	}
	e.callers = e.newCallers()
	e.metrics = newMetrics(e)
	e.state = state{
		bounds:         freshness.NewBounds(settings.Seconds(s.Bounds.RevokeS)),
		split:          routing.Splitter{Offset: rand.Float64()},
		config:         replica.NewTable(),
		servers:        replica.NewTable(),
		instances:      replica.NewTable(),
		serverList:     discovery.NewList(),
		placer:         placement.NewWithout(s.Trial.Disabled()),
		usage:          newUsageCounters(),
		budgets:        make(map[string]*retry.Shared),
		routes:         make(map[string]*routeStats),
		ownOutstanding: make(map[uint32]uint16),
		limiter:        warmup.NewLimiter(self),
		throttle:       throttle.NewLimiter(self),
	}
	e.state.placer.SetWarmUpLimiter(e.state.limiter)
	e.state.placer.SetRateLimiter(e.state.throttle)
	e.state.messenger = fleet.NewMessenger(fleet.Settings{
		Self: e.selfMember(), Epoch: e.epoch, Seeds: e.seedIDs(), Leaving: func() bool { return !e.readyLocked() }, Stopping: e.stopping.Load,
	})
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.plant()
	return e, nil
}

// newEpoch draws the number that tells this start of the instance from others.
// The time of the start isn't enough: a process that is killed is back within
// the same second, and clocks jump back. The other instances would then take
// its messages for repeats of those before its end, until it has sent as many.
func newEpoch() uint32 { return rand.Uint32() }

// Run serves until the context ends, which begins a planned stop.
func (e *Edge) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := e.tree.ServeBackground(run)
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
	case <-time.After(endWait):
	}
	e.lines.Flush()
	return nil
}

// now reads the instance's clock, which goes on while the machine sleeps.
func (e *Edge) now() time.Duration { return e.clock.Now() }

// ports are the listeners of an instance.
type ports struct {
	callers, readiness, directory, metrics, snapshots net.Listener
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
	e.callerPort = netip.MustParseAddrPort(e.ports.callers.Addr().String()).Port()
	return nil
}

// plant puts the parts into the supervisor tree.
func (e *Edge) plant() {
	e.tree = suture.New("edge", suture.Spec{
		EventHook: func(ev suture.Event) {
			event.ChildFailed.Log(e.log, slog.String("error", ev.String()))
		},
		Timeout: time.Second,
	})
	e.tree.Add(part{"log", e.lines.Serve})
	e.tree.Add(part{"receiver", e.receiveDatagrams})
	e.tree.Add(part{"heart", e.sendHeartbeats})
	e.tree.Add(part{"poller", e.pollStore})
	e.tree.Add(part{"fetcher", e.fetchConfig})
	e.tree.Add(part{"register", e.registerInstances})
	e.tree.Add(part{"snapshots", e.serveSnapshots})
	e.tree.Add(part{"settings", e.watchSettings})
	e.tree.Add(part{"callers", e.serveCallers})
	e.tree.Add(part{"readiness", e.serveHTTP(e.ports.readiness, http.HandlerFunc(e.answerReady))})
	e.tree.Add(part{"directory", e.serveHTTP(e.ports.directory, http.HandlerFunc(e.answerDirectory))})
	e.tree.Add(part{"metrics", e.serveHTTP(e.ports.metrics, e.metrics.handler(e.answerStatus))})
}

// part is a named part of the tree.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String names the part in logs.
func (p part) String() string { return p.name }

// parseIPv4 is the short form of an IPv4 address in messages.
func parseIPv4(ip string) (uint32, error) {
	a, err := netip.ParseAddr(ip)
	if err != nil || !a.Is4() {
		return 0, errors.Newf("%q isn't an IPv4 address", ip)
	}
	return ipv4Number(a), nil
}

// ipv4Number is addressNumber of an address that is known to be IPv4.
func ipv4Number(a netip.Addr) uint32 {
	b := a.Unmap().As4()
	return binary.BigEndian.Uint32(b[:])
}

// addrPort is the opposite of addressNumber, with a port.
func addrPort(n uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
