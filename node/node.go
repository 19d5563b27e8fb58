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
	// followedRevision and seenList are the table's revision and the list's version that
	// the node has followed.
	followedRevision    storage.Revision
	followedListVersion uint64
	// reportedState is the confirmation as operators heard of it last.
	reportedState membership.State
	// confirmedUntil is until when this instance could act on what it knew at
	// the end of the last step.
	confirmedUntil time.Duration
	// nextHousekeeping and forgetAt are when the regular work is due.
	nextHousekeeping time.Duration
	nextEviction     time.Duration
	leaving          bool
	// permitWrites has the services whose permits row is being written, with
	// the servers that this ejects.
	permitWrites map[string][]string
	failureSpans map[string]failureSpan
	// leavingServers are backend servers that said that they leave, until when.
	leavingServers map[string]time.Duration
	// ejected are the servers by service that operators heard of.
	ejected           map[string]map[string]bool
	rateRefusals      rateRefusalCounts
	workspaceFailures workspaceFailures
	unadvertised      unadvertised
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
		settings:          s,
		rng:               rng,
		replica:           replica,
		member:            membership.New(s.Membership, replica, rng),
		holder:            quota.NewHolder(s.Self.ID, s.Shards, s.Quota),
		minter:            claim.NewMinter(s.Self.ID, s.Secret, s.Claim),
		claimer:           claim.NewClaimer(s.Self.ID, s.Claimer),
		pruning:           pruning{retention: claim.NewRetentionTracker(claimRetention)},
		observer:          health.NewObserver(s.Health, rng),
		collector:         health.NewCollector(s.Health),
		picker:            balance.NewPicker(s.Balance, rng),
		budgets:           map[string]*retry.Budget{},
		pending:           map[uint64]pendingEffect{},
		requests:          map[string]*request{},
		attempts:          map[string]*attempt{},
		shards:            newShards(s.Shards),
		permitWrites:      map[string][]string{},
		failureSpans:      map[string]failureSpan{},
		leavingServers:    map[string]time.Duration{},
		ejected:           map[string]map[string]bool{},
		rateRefusals:      rateRefusalCounts{},
		workspaceFailures: newWorkspaceFailures(),
	}
}

// Step takes one event at a time on the instance's monotonic clock, which
// never goes back, and returns what to do. The slice is valid until the next
// call.
func (n *Node) Step(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	n.effects = n.effects[:0]
	n.handle(e)
	n.reportConfirmation()
	return n.effects
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Wake:
		n.wake()
	case RequestArrived:
		n.handleRequest(e)
	case RequestGone:
		n.handleCallerGone(e.Request)
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
	next := min(n.member.NextWake(), n.nextHousekeeping, n.shards.nextGrantCheck, n.shards.nextWrite())
	if at, ok := n.timers.nextTime(); ok {
		next = min(next, at)
	}
	return next
}

func (n *Node) wake() {
	n.emitMemberEffects(n.member.Tick(n.now))
	n.applyUpdates()
	n.runTimers()
	n.applyPendingGrants()
	if n.now >= n.shards.nextWrite() {
		n.writeStaleShard()
	}
	if n.now >= n.nextHousekeeping {
		n.nextHousekeeping = n.now + n.settings.HousekeepEvery
		n.runHousekeeping()
	}
}

func (n *Node) runHousekeeping() {
	n.sendHealthReports()
	n.runCollector()
	n.readvertiseInstances()
	n.writeStaleShard()
	n.readExpiredClaims()
	n.readAbandonedClaims()
	if n.now >= n.nextEviction {
		n.nextEviction = n.now + time.Minute
		n.holder.EvictIdle(n.now)
		n.expireLeaving()
		n.evictFailureSpans()
		n.workspaceFailures.evictIdle(n.now)
	}
}

func (n *Node) tableRead(e TableRead) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	if p.owner == ownerClaim {
		n.handleClaimRead(p, e)
		return
	}
	n.emitMemberEffects(n.member.ReadDone(n.now, p.id, e.Changes, e.OK))
	n.applyUpdates()
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
		n.handleClaimWrite(p, e.Result)
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
	n.applyUpdates()
}

// applyUpdates follows the replica and the instance list after anything
// that may have changed them.
func (n *Node) applyUpdates() {
	if list := n.member.Directory().Version(); list != n.followedListVersion {
		n.followedListVersion = list
		n.rankShardWriters()
		n.collector.SetFleetSize(len(n.member.Directory().Entries()), len(n.member.Directory().DataCentres()))
		n.updateServers()
	}
	if n.replica.Revision() == n.followedRevision {
		return
	}
	n.followedRevision = n.replica.Revision()
	n.refreshShards()
	n.reportEjectionChanges()
	n.refreshUnadvertised()
	n.updateServers()
}

func (n *Node) reportConfirmation() {
	c := n.member.Confirmation(n.now)
	if c.State != membership.CutOff {
		n.confirmedUntil = n.now - c.Age + n.member.Settings().Fresh
	}
	if c.State == n.reportedState {
		return
	}
	n.reportedState = c.State
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
