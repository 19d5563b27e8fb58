package lab

import "time"

// Measures are what callers felt in one play.
type Measures struct {
	// Credit is what the answers were worth against all in time; a late one
	// is worth lateWorth.
	Credit float64
	// Unserved is the share of owed requests without an answer.
	Unserved float64
	// OrdersLost is the share of orders that failed, the servers' own errors
	// apart.
	OrdersLost float64
	// Late is the share of answers after the aim.
	Late float64
	// Refused is the share of owed requests that were refused for good.
	Refused float64
	// WorstWorkspace and WorstWindow are the smallest shares served of a
	// workspace and of two seconds.
	WorstWorkspace, WorstWindow float64
	// Idle is the share of time that healthy servers got no request, the
	// false ejections.
	Idle float64
	// FailuresPerFault is the number of requests that a server's spell cost, for each
	// spell that any request met: a measure of detection.
	FailuresPerFault float64
}

// lateCredit is what a late answer is worth to its caller.
const lateCredit = 0.3

// MeasureNames of the measures, in the order of Values.
var MeasureNames = []string{
	"credit", "unserved", "orders lost", "late", "refused", "worst workspace", "worst seconds", "idle healthy", "failures a spell",
}

// HigherIsBetter says for each measure whether more of it is better.
var HigherIsBetter = []bool{true, false, false, false, false, true, true, false, false}

// Values are the measures in the order of Names.
func (m Measures) Values() []float64 {
	return []float64{
		m.Credit, m.Unserved, m.OrdersLost, m.Late, m.Refused, m.WorstWorkspace, m.WorstWindow, m.Idle, m.FailuresPerFault,
	}
}

// share counts what was owed and what of it was served.
type share struct{ owed, served int }

func (s share) ratio() float64 {
	if s.owed == 0 {
		return 1
	}
	return float64(s.served) / float64(s.owed)
}

// tally gathers the outcomes of a play.
type tally struct {
	owed, answered, late, refusals int
	credit                         float64
	orders, ordersLost             int
	workspaces                     []share
	windows                        map[int]share
	// overRateCounts counts the refusals overRateCounts the rate, by workspace.
	overRateCounts map[int]int
	// healthy counts looks at healthy servers, idle those that found them idle.
	healthy, idle int
	// faults counts those that cost a request, failures these requests.
	faults, failures int
}

func newTally(d Deployment) tally {
	return tally{
		workspaces: make([]share, len(d.Workspaces)), windows: make(map[int]share), overRateCounts: make(map[int]int),
	}
}

// window is the span over which the worst seconds are sought.
const windowLength = 2 * time.Second

// minRequests is how many requests a workspace or a window needs to be compared.
const minRequests = 10

// count takes in a request that has ended.
func (t *tally) count(c *caller, served bool) {
	if c.first < WarmUp {
		return
	}
	t.owed++
	if !c.kind.Idempotent {
		t.orders++
	}
	n := 0
	if served {
		n = 1
	}
	ws := &t.workspaces[c.workspace]
	ws.owed++
	ws.served += n
	w := t.windows[int(c.first/windowLength)]
	w.owed++
	w.served += n
	t.windows[int(c.first/windowLength)] = w
}

func (t *tally) served(c *caller) {
	t.count(c, true)
	if c.first < WarmUp {
		return
	}
	t.answered++
	if c.world.now-c.first > c.kind.LatencyTarget {
		t.late++
		t.credit += lateCredit
		return
	}
	t.credit++
}

// failed takes in a request that ended without an answer. A healthy server's own
// error is nobody's fault, but isn't an answer either.
func (t *tally) failed(c *caller) {
	t.count(c, false)
	if c.first >= WarmUp && !c.kind.Idempotent && !c.unrelatedError {
		t.ordersLost++
	}
}

func (t *tally) refused(c *caller) {
	if t.overRateCounts[c.workspace] > 0 && c.workspace == 0 {
		// The hot workspace asks for more than its rate; what is refused of
		// that isn't owed.
		t.overRateCounts[c.workspace]--
		return
	}
	t.count(c, false)
	if c.first >= WarmUp {
		t.refusals++
	}
}

// overRate notes a refusal over the rate.
func (t *tally) overRate(c *caller) { t.overRateCounts[c.workspace]++ }

func (t *tally) measures() Measures {
	m := Measures{WorstWorkspace: 1, WorstWindow: 1}
	if t.owed == 0 {
		return m
	}
	owed := float64(t.owed)
	m.Credit = t.credit / owed
	m.Unserved = 1 - float64(t.answered)/owed
	m.Late = float64(t.late) / owed
	m.Refused = float64(t.refusals) / owed
	if t.orders > 0 {
		m.OrdersLost = float64(t.ordersLost) / float64(t.orders)
	}
	for i, s := range t.workspaces {
		if i > 0 && s.owed >= minRequests {
			m.WorstWorkspace = min(m.WorstWorkspace, s.ratio())
		}
	}
	for _, s := range t.windows {
		if s.owed >= minRequests {
			m.WorstWindow = min(m.WorstWindow, s.ratio())
		}
	}
	if t.healthy > 0 {
		m.Idle = float64(t.idle) / float64(t.healthy)
	}
	if t.faults > 0 {
		m.FailuresPerFault = float64(t.failures) / float64(t.faults)
	}
	return m
}
