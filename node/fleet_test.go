package node

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// fleet runs several real nodes against fakes of the platform, the network and
// the backend servers, in simulated time. The same seed gives the same run.
type fleet struct {
	rng   *rand.Rand
	now   time.Duration
	seq   int
	queue eventQueue

	tables       map[storage.TableName]*table
	platformDown bool
	list         []storage.Instance
	version      uint64

	nodes   map[string]*instance
	names   []string
	servers map[string]*server
	// blocked has the blocked one-way links as "from>to"; "table" is the platform.
	blocked map[string]bool

	firstAttempts  []firstAttempt
	executed       []execution
	answers        map[string]reply
	located        map[string]Located
	forwarded      map[string]string
	pendingReplies map[uint64]func(ReplyCall)
	requests       int
	// detections has the NoteDetected notes.
	detections []Noted
	// seeds is passed to the instances that are started.
	seeds []string
}

// instance is a node with its own clock. Events that arrive while it is frozen
// are queued.
type instance struct {
	node       *Node
	name       string
	startedAt  time.Duration
	rate       float64
	frozen     bool
	dead       bool
	heldEvents []Event
	wakeAt     time.Duration
}

// server is a fake backend server.
type server struct {
	mode    string
	latency time.Duration
	refused int
}

// firstAttempt records the first attempt of a request, made on its admission.
type firstAttempt struct {
	at        time.Duration
	workspace string
	service   string
	key       string
}

type execution struct {
	at                 time.Duration
	request, operation string
}

type reply struct {
	at      time.Duration
	outcome string
	rule    string
}

const (
	linkDelay   = time.Millisecond
	callTimeout = 250 * time.Millisecond
	readTimeout = time.Second
)

func newFleet(seed uint64, entries, servers int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)),
		tables: map[storage.TableName]*table{
			storage.Control: {rows: map[string]storage.Row{}},
			storage.Claims:  {rows: map[string]storage.Row{}},
		},
		nodes:          map[string]*instance{},
		servers:        map[string]*server{},
		blocked:        map[string]bool{},
		answers:        map[string]reply{},
		located:        map[string]Located{},
		forwarded:      map[string]string{},
		pendingReplies: map[uint64]func(ReplyCall){},
	}
	for i := range servers {
		f.addServer("s" + strconv.Itoa(i))
	}
	for i := range entries {
		f.start("n"+strconv.Itoa(i), i)
	}
	return f
}

func (f *fleet) addServer(id string) {
	f.servers[id] = &server{mode: "ok", latency: 10 * time.Millisecond}
	f.announce(storage.Instance{ID: id, Kind: storage.BackendServer, Service: "orders", DataCentre: "a", Address: id, Slots: 2, State: storage.Live})
}

func (f *fleet) announce(i storage.Instance) {
	f.version++
	f.list = slices.DeleteFunc(f.list, func(o storage.Instance) bool { return o.ID == i.ID })
	f.list = append(f.list, i)
}

func (f *fleet) start(name string, index int) *instance {
	self := storage.Instance{ID: name, Kind: storage.Entry, DataCentre: "dc" + strconv.Itoa(index%3), Address: name, PeerAddress: name, State: storage.Live}
	f.announce(self)
	s := DefaultSettings()
	s.Self = self
	s.Secret = []byte("secret of " + name)
	s.Seed = f.rng.Uint64()
	s.Shards = 2
	s.ShardStagger = time.Second
	s.Membership.Seeds = f.seeds
	i := &instance{node: New(s), name: name, startedAt: f.now, rate: 1 + (f.rng.Float64()-0.5)*0.0008, wakeAt: never}
	f.nodes[name] = i
	f.names = append(f.names, name)
	f.step(i, Wake{})
	return i
}

// step passes an event to a node. Events for a frozen node are queued, those for
// a dead one are dropped.
func (f *fleet) step(i *instance, e Event) {
	switch {
	case i.dead:
		return
	case i.frozen:
		i.heldEvents = append(i.heldEvents, e)
		return
	}
	for _, effect := range slices.Clone(i.node.Step(i.local(f.now), e)) {
		f.execute(i, effect)
	}
	f.scheduleWake(i)
}

func (i *instance) local(now time.Duration) time.Duration {
	return time.Duration(float64(now-i.startedAt) * i.rate)
}

func (f *fleet) scheduleWake(i *instance) {
	at := max(f.now, i.startedAt+time.Duration(float64(i.node.NextWake())/i.rate)+1)
	if i.wakeAt > f.now && i.wakeAt <= at {
		return
	}
	i.wakeAt = at
	f.after(at-f.now, func() {
		if i.wakeAt == f.now && !i.frozen {
			f.step(i, Wake{})
		}
	})
}

func (f *fleet) freeze(name string) { f.nodes[name].frozen = true }

func (f *fleet) thaw(name string) {
	i := f.nodes[name]
	i.frozen = false
	held := i.heldEvents
	i.heldEvents = nil
	for _, e := range held {
		f.step(i, e)
	}
	f.step(i, Wake{})
}

func (f *fleet) kill(name string) {
	f.nodes[name].dead = true
	f.after(3*time.Second, func() {
		self := f.nodes[name].node.settings.Self
		self.State = storage.Ended
		f.announce(self)
	})
}

func (f *fleet) reachable(from, to string) bool { return !f.blocked[from+">"+to] }

// execute carries out an effect as a driver does.
func (f *fleet) execute(i *instance, e Effect) {
	switch e := e.(type) {
	case StartAttempt:
		f.attempt(i, e)
	case ReplyCall:
		f.deliverReply(e)
	case Relay:
		f.answer(e.Request, "served", "")
	case Repeat:
		f.answer(e.Request, "ran-before", "")
	case Refuse:
		f.answer(e.Request, string(e.Record.Outcome), string(e.Record.Rule))
	case Noted:
		if e.Note == NoteDetected {
			f.detections = append(f.detections, e)
		}
	case Located:
		f.located[e.Request] = e
	case effect.Call:
		f.call(i, e)
	case effect.ReadTable:
		f.callPlatform(i, func() Event { return TableRead{ID: e.ID, Changes: f.readTable(e.Read), OK: true} }, TableRead{ID: e.ID})
	case effect.WriteTable:
		f.callPlatform(i, func() Event { return TableWritten{ID: e.ID, Result: f.commit(e.Txn)} }, TableWritten{ID: e.ID})
	case effect.ReadInstances:
		f.callPlatform(i, func() Event {
			return InstancesRead{ID: e.ID, OK: true, Changes: storage.InstanceChanges{Version: f.version, Changed: slices.Clone(f.list), Full: true}}
		}, InstancesRead{ID: e.ID})
	}
}

func (f *fleet) answer(request, outcome, rule string) {
	if origin, ok := f.forwarded[request]; ok {
		f.answers[request] = reply{at: f.now, outcome: outcome, rule: rule}
		request = origin
	}
	if _, done := f.answers[request]; !done {
		f.answers[request] = reply{at: f.now, outcome: outcome, rule: rule}
	}
}

// attempt sends a request to a backend server, or forwards it to the instance
// that minted its operation key.
func (f *fleet) attempt(i *instance, e StartAttempt) {
	if e.Forward {
		f.forward(i, e)
		return
	}
	f.recordFirstAttempt(i, e)
	s := f.servers[e.Server.ID]
	end := func(in time.Duration, r health.Result) {
		f.after(in, func() {
			f.step(i, AttemptEnded{Attempt: e.Attempt, Result: r, Latency: in, Replayable: true})
		})
	}
	if s.mode == "refuse" || !f.reachable(i.name, e.Server.ID) {
		end(linkDelay, health.ConnectFailed)
		return
	}
	if s.mode == "leaving" {
		s.refused++
		f.after(2*linkDelay, func() {
			f.step(i, AttemptEnded{Attempt: e.Attempt, Result: health.NotRun, Replayable: true, Leaving: true})
		})
		return
	}
	if s.mode == "shed" {
		end(2*linkDelay, health.Shed)
		return
	}
	f.after(linkDelay, func() {
		f.executed = append(f.executed, execution{at: f.now, request: e.Request, operation: e.Operation})
	})
	switch {
	case s.mode == "hang" || !f.reachable(e.Server.ID, i.name):
		end(e.Timeout, health.Timeout)
	case s.mode == "half":
		end(s.latency, health.Incomplete)
	default:
		end(s.latency, health.OK)
	}
}

func (f *fleet) recordFirstAttempt(i *instance, e StartAttempt) {
	r := i.node.requests[e.Request]
	if len(r.tried) == 1 {
		f.firstAttempts = append(f.firstAttempts, firstAttempt{at: f.now, workspace: e.Workspace, service: r.service.Name, key: r.arrived.Key.String()})
	}
}

// forward sends the request to the minting instance under a new request ID.
func (f *fleet) forward(i *instance, e StartAttempt) {
	r := i.node.requests[e.Request].arrived
	r.Request += "@" + e.Server.ID
	r.Forwarded = true
	f.forwarded[r.Request] = e.Request
	minter := f.nodes[e.Server.ID]
	if minter.dead || !f.reachable(i.name, minter.name) {
		f.after(linkDelay, func() { f.step(i, AttemptEnded{Attempt: e.Attempt, Result: health.ConnectFailed}) })
		return
	}
	f.after(linkDelay, func() { f.step(minter, r) })
	f.awaitForward(i, e, r.Request, f.now+e.Timeout)
}

func (f *fleet) awaitForward(i *instance, e StartAttempt, request string, until time.Duration) {
	f.after(5*linkDelay, func() {
		switch _, done := f.answers[request]; {
		case done && f.reachable(e.Server.ID, i.name):
			f.step(i, AttemptEnded{Attempt: e.Attempt, Result: health.OK})
		case f.now >= until:
			f.step(i, AttemptEnded{Attempt: e.Attempt, Result: health.Timeout})
		default:
			f.awaitForward(i, e, request, until)
		}
	})
}

// call delivers a message to another node and its reply back.
func (f *fleet) call(i *instance, e effect.Call) {
	f.requests++
	token := uint64(f.requests)
	ended := false
	end := func(c CallEnded) {
		if !ended {
			ended = true
			f.step(i, c)
		}
	}
	f.after(callTimeout, func() { end(CallEnded{ID: e.ID}) })
	to, ok := f.nodes[i.node.PeerAddress(e.To)]
	if !ok || to.dead || !f.reachable(i.name, to.name) {
		return
	}
	f.after(linkDelay, func() {
		f.pendingReplies[token] = func(r ReplyCall) {
			if r.OK && f.reachable(to.name, i.name) {
				f.after(linkDelay, func() { end(CallEnded{ID: e.ID, Reply: r.Reply, OK: true}) })
			}
		}
		f.step(to, Called{Token: token, From: i.name, Request: e.Request.(PeerRequest)})
	})
}

func (f *fleet) deliverReply(e ReplyCall) {
	if reply, ok := f.pendingReplies[e.Token]; ok {
		delete(f.pendingReplies, e.Token)
		reply(e)
	}
}

// sendRequest sends a caller's request to a node and returns the request's ID.
func (f *fleet) sendRequest(to string, key string, r RequestArrived) string {
	f.requests++
	r.Request = "r" + strconv.Itoa(f.requests)
	r.Key, r.HasKey = config.HashKey(key), true
	f.step(f.nodes[to], r)
	return r.Request
}

func (f *fleet) operationKey(at, key string) string {
	f.requests++
	id := "l" + strconv.Itoa(f.requests)
	f.step(f.nodes[at], LocateAsked{Request: id, Key: config.HashKey(key), HasKey: true, Operations: 1})
	l := f.located[id]
	if len(l.Operations) == 0 {
		return ""
	}
	return l.Operations[0]
}
