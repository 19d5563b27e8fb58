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

// Node is the decision logic of one entry instance. It is not safe for
// concurrent use.
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

	// now is the time passed to the current Step.
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
	// followedRevision and followedListVersion are the control table revision
	// and the instance list version that applyUpdates processed last.
	followedRevision    storage.Revision
	followedListVersion uint64
	// reportedState is the confirmation state that was last emitted as a
	// NoteConfirmation.
	reportedState membership.State
	// confirmedUntil is when the confirmation of the configuration expires, as
	// of the end of the last step.
	confirmedUntil time.Duration
	// nextHousekeeping and nextEviction are when the periodic work is due.
	nextHousekeeping time.Duration
	nextEviction     time.Duration
	leaving          bool
	// permitWrites holds, for each service whose permits row is being written,
	// the servers that the write newly ejects.
	permitWrites map[string][]string
	failureSpans map[string]failureSpan
	// leavingServers maps backend servers that reported that they are stopping
	// to the time until which they get no new requests.
	leavingServers map[string]time.Duration
	// ejected holds, by service, the ejected servers already reported to
	// operators.
	ejected           map[string]map[string]bool
	rateRefusals      rateRefusalCounts
	workspaceFailures workspaceFailures
	unadvertised      unadvertised
}

// New returns a node without configuration or instance list. Its first Step
// with Wake emits the reads from the platform.
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

// Step processes one event and returns the effects for the driver to carry
// out. The time is on the instance's monotonic clock; an earlier time than in
// the previous call is treated as that time. The slice is valid until the next
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
		n.handleAttemptEnded(e)
	case StreamEnded:
		n.handleStreamEnded(e)
	case LocateAsked:
		n.handleLocate(e)
	case CallEnded:
		n.handleCallEnded(e)
	case Called:
		n.handleCall(e)
	case TableRead:
		n.handleTableRead(e)
	case TableWritten:
		n.handleTableWritten(e)
	case InstancesRead:
		n.handleInstancesRead(e)
	case ProbeEnded:
		n.collector.RecordProbe(n.now, e.Probe, e.Result, e.Latency)
	case LeaveRequested:
		n.leave()
	}
}

// NextWake returns the time at which Step with Wake is next due. It may change
// with every step.
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

func (n *Node) handleTableRead(e TableRead) {
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

func (n *Node) handleTableWritten(e TableWritten) {
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
		n.handlePermitsWritten(p.subject, e.Result)
	}
}

func (n *Node) handleInstancesRead(e InstancesRead) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	n.emitMemberEffects(n.member.InstancesDone(n.now, p.id, e.Changes, e.OK))
	n.applyUpdates()
}

// applyUpdates brings the state derived from the replica and the instance list
// up to date. It is called after anything that may have changed either.
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

// leave begins a planned stop. The instance keeps serving callers that already
// know its address, but is no longer returned by locate, and its parts of the
// shards move to the remaining instances.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.emitMemberEffects(n.member.Leave(n.now))
}
