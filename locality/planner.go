package locality

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planner keeps the plan of one service. It isn't safe for concurrent use.
type Planner struct {
	distance Distance
	centres  []*centre
	at       time.Duration
	started  bool
}

// centre is the plan of one data centre.
type centre struct {
	figures Figures
	// weight is the share of the averages that measurements account for; the rest is the
	// initial 0.
	weight float64
	// goal has the planned shares and current those in force, by data centre.
	goal, current map[string]float64
	reason        Reason
}

// NewPlanner returns a planner without figures.
func NewPlanner(distance Distance) *Planner { return &Planner{distance: distance} }

// Update computes the plan from the present figures. Data centres that aren't among them any
// more have neither demand nor capacity.
func (p *Planner) Update(figures []Figures, now time.Duration) {
	elapsed := now - p.at
	if p.started && elapsed <= 0 {
		return
	}
	if !p.started {
		elapsed = smoothingTime / 10
	}
	p.started, p.at = true, now
	p.smooth(figures, elapsed)
	smoothed := make([]Figures, len(p.centres))
	for i, c := range p.centres {
		smoothed[i] = c.figures
	}
	for i, shares := range Waterfall(smoothed, p.distance) {
		planned := make(map[string]float64)
		for j, share := range shares {
			if share > 0 {
				planned[p.centres[j].figures.DataCentre] = share
			}
		}
		p.centres[i].setGoal(planned)
		p.centres[i].approachGoal(maxChangePerSecond * elapsed.Seconds())
	}
}

// smooth updates the moving averages. An average starts with the first measurement, not with
// 0, so that an instance that has just started arrives at the figures of the others.
func (p *Planner) smooth(figures []Figures, elapsed time.Duration) {
	for _, f := range figures {
		if p.centre(f.DataCentre) == nil {
			p.centres = append(p.centres, &centre{figures: Figures{DataCentre: f.DataCentre}})
		}
	}
	slices.SortFunc(p.centres, func(a, b *centre) int {
		return cmp.Compare(a.figures.DataCentre, b.figures.DataCentre)
	})
	keep := math.Exp(-elapsed.Seconds() / smoothingTime.Seconds())
	for _, c := range p.centres {
		var x Figures
		for _, f := range figures {
			if f.DataCentre == c.figures.DataCentre {
				x = f
			}
		}
		c.weight = c.weight*keep + 1 - keep
		a := (1 - keep) / c.weight
		c.figures.Demand += a * (x.Demand - c.figures.Demand)
		c.figures.Capacity += a * (x.Capacity - c.figures.Capacity)
		c.figures.Slots += a * (x.Slots - c.figures.Slots)
		c.figures.Waiting += a * (x.Waiting - c.figures.Waiting)
	}
}

func (p *Planner) centre(name string) *centre {
	for _, c := range p.centres {
		if c.figures.DataCentre == name {
			return c
		}
	}
	return nil
}

// setGoal adopts the planned shares if they differ by the dead band or more, or if nothing is
// to leave any more.
func (c *centre) setGoal(planned map[string]float64) {
	if largestDifference(c.goal, planned) < deadBand && !(len(planned) == 0 && len(c.goal) > 0) {
		return
	}
	c.goal = planned
	c.reason = None
	if len(planned) > 0 {
		c.reason = NoCapacity
		if c.figures.load() <= usualUtilization*c.figures.Capacity {
			c.reason = FewServers
		}
	}
}

// approachGoal changes the shares in force by at most the given amount.
func (c *centre) approachGoal(most float64) {
	step := 1.0
	if d := largestDifference(c.current, c.goal); d > most {
		step = most / d
	}
	next := make(map[string]float64)
	for name, share := range c.current {
		next[name] = share * (1 - step)
	}
	for name, share := range c.goal {
		next[name] += share * step
	}
	for name, share := range next {
		if share <= 0 {
			delete(next, name)
		}
	}
	c.current = next
}

// largestDifference returns the largest change of a share or of their sum.
func largestDifference(a, b map[string]float64) float64 {
	largest := math.Abs(sum(a) - sum(b))
	for name, share := range a {
		largest = math.Max(largest, math.Abs(share-b[name]))
	}
	for name, share := range b {
		largest = math.Max(largest, math.Abs(share-a[name]))
	}
	return largest
}

func sum(shares map[string]float64) (s float64) {
	for _, x := range shares {
		s += x
	}
	return s
}

// Plan is the plan of a service for the requests of one data centre.
type Plan struct {
	// To has the shares that leave, in the order of the names.
	To []Share
	// Reason why requests leave, None if the share is only running out.
	Reason Reason
	// Demand and Capacity are the averages that the plan is based on.
	Demand, Capacity float64
}

// Leaving returns the share of the requests that leaves.
func (p Plan) Leaving() (s float64) {
	for _, to := range p.To {
		s += to.Share
	}
	return s
}

// Plan returns the plan for the requests of a data centre.
func (p *Planner) Plan(from string) Plan {
	c := p.centre(from)
	if c == nil {
		return Plan{}
	}
	plan := Plan{Reason: c.reason, Demand: c.figures.Demand, Capacity: c.figures.Capacity}
	for name, share := range c.current {
		plan.To = append(plan.To, Share{name, share})
	}
	slices.SortFunc(plan.To, func(a, b Share) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return plan
}
