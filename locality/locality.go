// Package locality plans which share of a service's requests leaves their data centre.
//
// Load pattern: instances and backend servers of a service stand in several data centres, and
// the traffic between these is slow and costs money. Mostly the servers of each data centre
// suffice for its own requests, but demand varies by half within seconds, and a third of the
// servers may fail for some seconds.
//
// Approach: a waterfall by capacity. Requests stay up to a usual utilization of the local
// servers; what exceeds it goes to data centres below theirs, in proportion to what these can
// take, nearest first. If the whole service is above its usual utilization, the level rises in
// all data centres alike, and nothing leaves for a data centre that is full itself. The plan is
// computed from figures that all instances have, so all arrive at the same shares without
// agreement.
//
// Trade-off: shares follow the load with a delay. Figures are smoothed over a second, a share
// changes by at most 0.2 per second, and small changes are ignored; otherwise all instances of
// a data centre would move the same requests to and fro. Until a share has followed, requests
// wait for local slots, or are sent elsewhere by their cost (package placement).
//
// The package does no I/O and reads no clock: time is passed in.
package locality

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of the averages of demand and capacity.
	smoothingTime = time.Second
	// maxChangePerSecond bounds the rate at which a share changes.
	maxChangePerSecond = 0.2
	// deadBand is the change of a planned share below which the former plan is kept.
	deadBand = 0.02
	// usualUtilization is the utilization up to which the servers of a data centre take its
	// own requests. The rest covers variations that are shorter than the smoothing.
	usualUtilization = 0.8
	// minSlots is the number of slots below which the usual utilization doesn't fall. A single
	// server that isn't surely healthy would otherwise send everything away.
	minSlots = 2
	// backlogTime is the time within which the requests that wait for a slot are to be served,
	// besides those that arrive: about the latency target of short requests.
	backlogTime = time.Second
)

// Figures describe a service in one data centre.
type Figures struct {
	DataCentre string
	// Demand is the number of first attempts per second that its instances send to servers of
	// any data centre.
	Demand float64
	// Capacity is the number of requests per second that its servers can handle.
	Capacity float64
	// Slots is the number of requests that these servers handle at a time.
	Slots float64
	// Waiting is the number of requests that wait for a slot of these servers.
	Waiting float64
}

// usual returns the utilization up to which requests stay. With few slots, requests wait at a
// lower utilization: the slots beyond the mean number in use must cover its random variation,
// which is about its square root.
func (f Figures) usual() float64 {
	return math.Min(usualUtilization, 1-1/math.Sqrt(math.Max(f.Slots, minSlots)))
}

// load returns the requests per second that want to be served in the data centre.
func (f Figures) load() float64 { return f.Demand + f.Waiting/backlogTime.Seconds() }

// Reason is why requests leave a data centre.
type Reason int

const (
	// None: no request leaves by plan.
	None Reason = iota
	// NoCapacity: the demand exceeds the usual utilization of the local servers.
	NoCapacity
	// FewServers: it exceeds the utilization at which requests seldom wait at so few servers.
	FewServers
)

// String returns the reason for status reports and logs.
func (r Reason) String() string {
	return [...]string{"none", "no capacity", "few servers"}[r]
}

// Share is the share of a data centre's requests that leaves for another one.
type Share struct {
	DataCentre string
	Share      float64
}

// Distance returns how far two data centres are apart: the nearest are used first, those at
// the same distance in proportion to what they can take.
type Distance func(from, to string) int

// Waterfall returns for each data centre the shares of its requests that leave, without any
// smoothing, in the order of figures.
func Waterfall(figures []Figures, distance Distance) [][]float64 {
	level := commonLevel(figures)
	excess, spare := make([]float64, len(figures)), make([]float64, len(figures))
	for i, f := range figures {
		usable := f.Capacity * (f.usual() + level*(1-f.usual()))
		excess[i], spare[i] = math.Max(f.load()-usable, 0), math.Max(usable-f.load(), 0)
	}
	moved := distribute(figures, excess, spare, distance)
	for i, f := range figures {
		scaleToShares(moved[i], f.Demand)
	}
	return moved
}

// commonLevel returns how far the utilization of all data centres rises from the usual one, at
// 0, to full, at 1, so that the servers take the load of the service.
func commonLevel(figures []Figures) float64 {
	load, usual, rest := 0.0, 0.0, 0.0
	for _, f := range figures {
		load += f.load()
		usual += f.Capacity * f.usual()
		rest += f.Capacity * (1 - f.usual())
	}
	if load <= usual || rest == 0 {
		return 0
	}
	return math.Min((load-usual)/rest, 1)
}

// distribute returns how much of each excess goes to which spare capacity.
func distribute(figures []Figures, excess, spare []float64, distance Distance) [][]float64 {
	moved := make([][]float64, len(figures))
	for i := range moved {
		moved[i] = make([]float64, len(figures))
	}
	d, more := nextDistance(figures, distance, math.MinInt)
	for ; more; d, more = nextDistance(figures, distance, d) {
		at := func(i, j int) bool { return i != j && distance(figures[i].DataCentre, figures[j].DataCentre) == d }
		distributeAt(at, excess, spare, moved)
	}
	return moved
}

// nextDistance returns the next distance between two data centres above d.
func nextDistance(figures []Figures, distance Distance, d int) (next int, found bool) {
	for i, from := range figures {
		for j, to := range figures {
			x := distance(from.DataCentre, to.DataCentre)
			if i != j && x > d && (!found || x < next) {
				next, found = x, true
			}
		}
	}
	return next, found
}

// distributeAt distributes excess over the spare capacity of the data centres at a distance,
// and reduces both by it.
func distributeAt(at func(from, to int) bool, excess, spare []float64, moved [][]float64) {
	wanted := make([][]float64, len(excess))
	incoming := make([]float64, len(excess))
	for i, e := range excess {
		wanted[i] = make([]float64, len(spare))
		total := 0.0
		for j, s := range spare {
			if at(i, j) {
				total += s
			}
		}
		for j, s := range spare {
			if at(i, j) && total > 0 {
				wanted[i][j] = math.Min(e, total) * s / total
				incoming[j] += wanted[i][j]
			}
		}
	}
	for j, s := range spare {
		if incoming[j] == 0 {
			continue
		}
		for i := range wanted {
			x := wanted[i][j] * math.Min(1, s/incoming[j])
			moved[i][j] += x
			excess[i] -= x
			spare[j] -= x
		}
	}
}

// scaleToShares divides the requests per second by the demand. Waiting requests can make
// them more than arrive.
func scaleToShares(moved []float64, demand float64) {
	sum := 0.0
	for _, x := range moved {
		sum += x
	}
	if sum == 0 {
		return
	}
	for j := range moved {
		moved[j] /= math.Max(demand, sum)
	}
}
