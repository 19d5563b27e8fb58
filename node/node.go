package node

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/balance"
	"foxtailspoke/claim"
	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
	"foxtailspoke/retry"
	"foxtailspoke/storage"
)

// Node is one entry instance's decisions. It isn't safe for use by several
// goroutines at once.
type Node struct {
	settings Settings
	rng      *rand.Rand

	replica   *config.Replica
	member    *membership.Member
	holder    *quota.Holder
	minter    *claim.Minter
	claimer   *claim.Claimer
	pruning   pruning
	observer  *health.Observer
	collector *health.Collector
	picker    *balance.Picker
	budgets   map[string]*retry.Budget

	// now is the time of the step in progress.
	now     time.Duration
	effects []Effect

	lastEffect  uint64
	pending     map[uint64]pendingEffect
	lastAttempt uint64
	lastTxn     uint64

	requests map[string]*request
	attempts map[string]*attempt
	timers   timers

	shards shards
	// seen and seenList are the table's revision and the list's version that
	// the node has followed.
	seen     storage.Revision
	seenList uint64
	// state is the confirmation as operators heard of it last.
	state membership.State
	// freshUntil is until when this instance could act on what it knew at
	// the end of the last step.
	freshUntil time.Duration
	// housekeep and forgetAt are when the regular work is due.
	housekeep time.Duration
	forgetAt  time.Duration
	leaving   bool
	// permitting has the services whose permits row is being written, with
	// the servers that this ejects.
	permitting map[string][]string
	doubts     map[string]doubt
	// leavers are backend servers that said that they leave, until when.
	leavers map[string]time.Duration
	// ejected are the servers by service that operators heard of.
	ejected      map[string]map[string]bool
	refused      rateRefusalCounts
	fares        fares
	unadvertised unadvertised
}

// New returns the node of an instance that has just started and knows
// nothing. Its first step makes it read the platform.
func New(s Settings) *Node {
	s.Membership.Self = s.Self.ID
	s.Membership.DataCentre = s.Self.DataCentre
	s.Health.DataCentre = s.Self.DataCentre
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15))
	replica := config.NewReplica()
	return &Node{
		settings:   s,
		rng:        rng,
		replica:    replica,
		member:     membership.New(s.Membership, replica, rng),
		holder:     quota.NewHolder(s.Self.ID, s.Shards, s.Quota),
		minter:     claim.NewMinter(s.Self.ID, s.Secret, s.Claim),
		claimer:    claim.NewClaimer(s.Self.ID, s.Claimer),
		pruning:    pruning{horizon: claim.NewRetentionTracker(claimRetention)},
		observer:   health.NewObserver(s.Health, rng),
		collector:  health.NewCollector(s.Health),
		picker:     balance.NewPicker(s.Balance, rng),
		budgets:    map[string]*retry.Budget{},
		pending:    map[uint64]pendingEffect{},
		requests:   map[string]*request{},
		attempts:   map[string]*attempt{},
		shards:     newShards(s.Shards),
		permitting: map[string][]string{},
		doubts:     map[string]doubt{},
		leavers:    map[string]time.Duration{},
		ejected:    map[string]map[string]bool{},
		refused:    rateRefusalCounts{},
		fares:      newFares(),
	}
}

// Step takes one event at a time on the instance's monotonic clock, which
// never goes back, and returns what to do. The slice is valid until the next
// call.
func (n *Node) Step(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	n.effects = n.effects[:0]
	n.handle(e)
	n.noticeState()
	return n.effects
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Wake:
		n.wake()
	case RequestArrived:
		n.arrive(e)
	case RequestGone:
		n.gone(e.Request)
	case AttemptEnded:
		n.attemptEnded(e)
	case StreamEnded:
		n.streamEnded(e)
	case LocateAsked:
		n.locate(e)
	case CallEnded:
		n.handleCallEnded(e)
	case Called:
		n.handleCall(e)
	case TableRead:
		n.tableRead(e)
	case TableWritten:
		n.tableWritten(e)
	case InstancesRead:
		n.instancesRead(e)
	case ProbeEnded:
		n.collector.RecordProbe(n.now, e.Probe, e.Result, e.Latency)
	case LeaveRequested:
		n.leave()
	}
}

// NextWake returns the time at which Step with Wake has something to do. Ask
// again after every step.
func (n *Node) NextWake() time.Duration {
	next := min(n.member.NextWake(), n.housekeep, n.shards.nextGrantCheck, n.shards.nextWrite())
	if at, ok := n.timers.nextTime(); ok {
		next = min(next, at)
	}
	return next
}

func (n *Node) wake() {
	n.emitMemberEffects(n.member.Tick(n.now))
	n.noticeRevision()
	n.runTimers()
	n.applyPendingGrants()
	if n.now >= n.shards.nextWrite() {
		n.writeStaleShard()
	}
	if n.now >= n.housekeep {
		n.housekeep = n.now + n.settings.HousekeepEvery
		n.keepHouse()
	}
}

func (n *Node) keepHouse() {
	n.sendHealthReports()
	n.runCollector()
	n.readvertiseInstances()
	n.writeStaleShard()
	n.lookForOldClaims()
	n.lookForAbandonedClaims()
	if n.now >= n.forgetAt {
		n.forgetAt = n.now + time.Minute
		n.holder.EvictIdle(n.now)
		n.expireLeaving()
		n.forgetDoubts()
		n.fares.forget(n.now)
	}
}

func (n *Node) tableRead(e TableRead) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	if p.owner == ownerClaim {
		n.claimRead(p, e)
		return
	}
	n.emitMemberEffects(n.member.ReadDone(n.now, p.id, e.Changes, e.OK))
	n.noticeRevision()
}

func (n *Node) tableWritten(e TableWritten) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	switch p.owner {
	case ownerMember:
		n.emitMemberEffects(n.member.WriteDone(n.now, p.id, e.Result))
	case ownerShard:
		n.shardWritten(p.subject, e.Result)
	case ownerClaim:
		n.claimWritten(p, e.Result)
	case ownerUnadvertised:
		n.unadvertised.writing = false
	case ownerPermits:
		n.permitsWritten(p.subject, e.Result)
	}
}

func (n *Node) instancesRead(e InstancesRead) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	n.emitMemberEffects(n.member.InstancesDone(n.now, p.id, e.Changes, e.OK))
	n.noticeRevision()
}

// noticeRevision follows the replica and the instance list after anything
// that may have changed them.
func (n *Node) noticeRevision() {
	if list := n.member.Directory().Version(); list != n.seenList {
		n.seenList = list
		n.rankShardWriters()
		n.collector.SetFleetSize(len(n.member.Directory().Entries()), len(n.member.Directory().DataCentres()))
		n.updateServers()
	}
	if n.replica.Revision() == n.seen {
		return
	}
	n.seen = n.replica.Revision()
	n.refreshShards()
	n.reportEjectionChanges()
	n.refreshUnadvertised()
	n.updateServers()
}

func (n *Node) noticeState() {
	c := n.member.Confirmation(n.now)
	if c.State != membership.CutOff {
		n.freshUntil = n.now - c.Age + n.member.Settings().Fresh
	}
	if c.State == n.state {
		return
	}
	n.state = c.State
	n.emit(Noted{Note: NoteConfirmation, Subject: c.State.String()})
}

// leave begins a planned stop. The instance goes on serving the callers that
// know its address; it is no longer named to others, and its parts of the
// shards move to instances that stay.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.emitMemberEffects(n.member.Leave(n.now))
}
