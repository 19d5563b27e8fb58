package lab

import "time"

// Measures are the results of one run as callers see them.
type Measures struct {
	// Credit is the value of the answers as a share of the value if all were in
	// time; a late answer counts lateCredit.
	Credit float64
	// Unserved is the share of counted requests without an answer.
	Unserved float64
	// OrdersLost is the share of orders (requests that aren't idempotent) that failed,
	// apart from errors of healthy servers.
	OrdersLost float64
	// Late is the share of counted requests answered after the latency target.
	Late float64
	// Refused is the share of counted requests whose last submission was refused.
	Refused float64
	// WorstWorkspace and WorstWindow are the smallest shares of requests served in any
	// workspace and in any window of windowLength.
	WorstWorkspace, WorstWindow float64
	// Idle is the share of samples of healthy servers that had no request for
	// idleThreshold, as an indicator of false ejections.
	Idle float64
	// FailuresPerFault is the mean number of failed requests per faulty period that
	// caused any; it measures how fast faults are detected.
	FailuresPerFault float64
}

// lateCredit is the credit of a late answer; an answer in time has 1.
const lateCredit = 0.3

// MeasureNames are the names of the measures, in the order of Values.
var MeasureNames = []string{
	"credit", "unserved", "orders lost", "late", "refused", "worst workspace", "worst seconds", "idle healthy", "failures a spell",
}

// HigherIsBetter says for each measure whether a higher value is better.
var HigherIsBetter = []bool{true, false, false, false, false, true, true, false, false}

// Values returns the measures in the order of MeasureNames.
func (m Measures) Values() []float64 {
	return []float64{
		m.Credit, m.Unserved, m.OrdersLost, m.Late, m.Refused, m.WorstWorkspace, m.WorstWindow, m.Idle, m.FailuresPerFault,
	}
}

// share counts the requests that had to be served and those that were.
type share struct{ total, served int }

func (s share) ratio() float64 {
	if s.total == 0 {
		return 1
	}
	return float64(s.served) / float64(s.total)
}

// tally accumulates the outcomes of one run.
type tally struct {
	total, answered, late, refusals int
	credit                          float64
	orders, ordersLost              int
	workspaces                      []share
	windows                         map[int]share
	// overRateCounts counts the refusals over the rate limit, by workspace.
	overRateCounts map[int]int
	// healthy counts samples of healthy servers, idle those in which the server was
	// idle.
	healthy, idle int
	// faults counts the faulty periods that failed any request, failures the failed
	// requests.
	faults, failures int
}

func newTally(d Deployment) tally {
	return tally{
		workspaces: make([]share, len(d.Workspaces)), windows: make(map[int]share), overRateCounts: make(map[int]int),
	}
}

// windowLength is the length of the windows that WorstWindow is computed over.
const windowLength = 2 * time.Second

// minRequests is the number of requests below which a workspace or a window is left
// out of the worst case.
const minRequests = 10

// count counts a finished request.
func (t *tally) count(c *caller, served bool) {
	if c.first < WarmUp {
		return
	}
	t.total++
	if !c.kind.Idempotent {
		t.orders++
	}
	n := 0
	if served {
		n = 1
	}
	ws := &t.workspaces[c.workspace]
	ws.total++
	ws.served += n
	w := t.windows[int(c.first/windowLength)]
	w.total++
	w.served += n
	t.windows[int(c.first/windowLength)] = w
}

func (t *tally) served(c *caller) {
	t.count(c, true)
	if c.first < WarmUp {
		return
	}
	t.answered++
	if c.sim.now-c.first > c.kind.LatencyTarget {
		t.late++
		t.credit += lateCredit
		return
	}
	t.credit++
}

// failed counts a request that ended without an answer. An error of a healthy server
// is not counted as a lost order, but the request is not served either.
func (t *tally) failed(c *caller) {
	t.count(c, false)
	if c.first >= WarmUp && !c.kind.Idempotent && !c.unrelatedError {
		t.ordersLost++
	}
}

func (t *tally) refused(c *caller) {
	if t.overRateCounts[c.workspace] > 0 && c.workspace == 0 {
		// Workspace 0 exceeds its rate limit; requests refused for that
		// don't have to be served.
		t.overRateCounts[c.workspace]--
		return
	}
	t.count(c, false)
	if c.first >= WarmUp {
		t.refusals++
	}
}

// overRate records a refusal over the rate limit.
func (t *tally) overRate(c *caller) { t.overRateCounts[c.workspace]++ }

func (t *tally) measures() Measures {
	m := Measures{WorstWorkspace: 1, WorstWindow: 1}
	if t.total == 0 {
		return m
	}
	total := float64(t.total)
	m.Credit = t.credit / total
	m.Unserved = 1 - float64(t.answered)/total
	m.Late = float64(t.late) / total
	m.Refused = float64(t.refusals) / total
	if t.orders > 0 {
		m.OrdersLost = float64(t.ordersLost) / float64(t.orders)
	}
	for i, s := range t.workspaces {
		if i > 0 && s.total >= minRequests {
			m.WorstWorkspace = min(m.WorstWorkspace, s.ratio())
		}
	}
	for _, s := range t.windows {
		if s.total >= minRequests {
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
