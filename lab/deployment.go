package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Range is what a figure is drawn from.
type Range struct{ Low, High float64 }

// uniform draws evenly.
func (r Range) uniform(rng *rand.Rand) float64 { return r.Low + rng.Float64()*(r.High-r.Low) }

// logUniform draws evenly on a logarithmic scale, for figures that span tenfolds.
func (r Range) logUniform(rng *rand.Rand) float64 {
	return r.Low * math.Pow(r.High/r.Low, rng.Float64())
}

func (r Range) uniformInt(rng *rand.Rand) int { return int(math.Round(r.uniform(rng))) }

// Ranges are what deployments are drawn from. They are wide, so that nobody can
// fit a policy to one deployment.
type Ranges struct {
	Instances, DataCentres, Services, Workspaces Range
	// Servers of a service, with Slots and a Queue each.
	Servers, Slots, Queue Range
	// Slowdown is how much slower than the fastest a service's slowest server is.
	Slowdown Range
	// Utilization is the share of a service's slots that requests keep busy.
	Utilization Range
	// ServiceTimeMS is the mean of a kind's work, Spread its deviation, as a share of
	// the mean.
	ServiceTimeMS, Spread Range
	// LatencyTargetFactor is a kind's aim in means of its work, TimeoutFactor the route's timeout in
	// aims.
	LatencyTargetFactor, TimeoutFactor Range
	// IdempotentShare is the share of a service's requests that can be repeated.
	IdempotentShare Range
	// ErrorShare is the share of requests that healthy servers answer with a
	// failure.
	ErrorShare Range
	// FaultShare of the servers is in a spell at any time, each FaultSeconds long,
	// in which FaultFailureShare of the requests fail.
	FaultShare, FaultSeconds, FaultFailureShare Range
	// ShedShare of the requests is refused whatever the load, in a window of
	// some seconds, at some services.
	ShedShare Range
	// MessageDelayMS is the delay of a message between instances, MessageLoss the
	// share that is lost.
	MessageDelayMS, MessageLoss Range
	// PartitionShare of the paths between instances and servers is cut for a while.
	PartitionShare Range
	// BurstFactor is how many times the usual load comes in a window of seconds.
	BurstFactor Range
	// HotWorkspaceFactor is how many times its rate the hottest workspace asks for.
	HotWorkspaceFactor Range
	// RetryAfterCompliance is the share of callers that keep to Retry-After.
	RetryAfterCompliance Range
}

// Wide are the ranges of all experiments.
var Wide = Ranges{
	Instances: Range{6, 48}, DataCentres: Range{1, 4}, Services: Range{1, 3}, Workspaces: Range{4, 12},
	Servers: Range{4, 20}, Slots: Range{2, 8}, Queue: Range{4, 16}, Slowdown: Range{1, 2.5},
	Utilization: Range{0.1, 0.6}, ServiceTimeMS: Range{20, 800}, Spread: Range{0.1, 0.9},
	LatencyTargetFactor: Range{2, 5}, TimeoutFactor: Range{1.5, 6}, IdempotentShare: Range{0, 0.9}, ErrorShare: Range{0, 0.02},
	FaultShare: Range{0.01, 0.5}, FaultSeconds: Range{2, 30}, FaultFailureShare: Range{0.4, 1},
	ShedShare: Range{0.2, 0.7}, MessageDelayMS: Range{0.3, 30}, MessageLoss: Range{0, 0.05},
	PartitionShare: Range{0, 0.3}, BurstFactor: Range{1, 2}, HotWorkspaceFactor: Range{1, 6}, RetryAfterCompliance: Range{0.5, 1},
}

// Mode is how servers fail in spells.
type Mode int

// The modes.
const (
	// Reset breaks the connection at once.
	Reset Mode = iota
	// Hang takes a slot and never answers.
	Hang
	// Error answers at once with a failure.
	Error
	// Slow takes five times as long.
	Slow
	// Truncate breaks the answer off after the work.
	Truncate
	// Blackhole takes no slot and never answers.
	Blackhole
	// LoseAnswer runs the request and loses its answer.
	LoseAnswer
	modes
)

var modeNames = [...]string{"reset", "hang", "error", "slow", "half", "mute", "lost"}

// String returns the mode's name.
func (m Mode) String() string { return modeNames[m] }

// Deployment is what an experiment plays.
type Deployment struct {
	Instances, DataCentres int
	Services               []Service
	Workspaces             []Workspace
	MessageDelay           time.Duration
	MessageLoss            float64
	// PartitionShare of the paths is cut in the window Cut.
	PartitionShare float64
	Partition      Window
	// BurstFactor times the usual load comes in the window Bursts.
	BurstFactor float64
	BurstWindow Window
	// RestartAt is when all instances lose what they know; 0 if never.
	RestartAt            time.Duration
	RetryAfterCompliance float64
}

// Window is a span of time.
type Window struct{ From, To time.Duration }

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.To }

// Workspace has a rate and burst, and a share of all requests.
type Workspace struct {
	Rate, Burst, Share float64
}

// Service is a group of servers and the kinds of requests that it gets.
type Service struct {
	Servers, Slots, Queue int
	// Slowdowns are the servers' times against the fastest.
	Slowdowns  []float64
	ErrorShare float64
	Faults     Faults
	// ShedShare of the requests is refused in the window Shed.
	ShedShare  float64
	ShedWindow Window
	Kinds      []RequestKind
}

// Faults are times in which a server fails.
type Faults struct {
	Share, FailureShare float64
	MeanDuration        time.Duration
	Mode                Mode
}

// RequestKind is a kind of request.
type RequestKind struct {
	Idempotent             bool
	RequestsPerSecond      float64
	ServiceTime            time.Duration
	Spread                 float64
	LatencyTarget, Timeout time.Duration
}

// SimulationLength of a play, of which the first WarmUp seconds don't count.
const (
	SimulationLength = 30 * time.Second
	WarmUp           = 3 * time.Second
)

// Draw draws a deployment.
func (r Ranges) Draw(rng *rand.Rand) Deployment {
	d := Deployment{
		Instances: r.Instances.uniformInt(rng), DataCentres: r.DataCentres.uniformInt(rng),
		MessageDelay:   time.Duration(r.MessageDelayMS.logUniform(rng) * float64(time.Millisecond)),
		MessageLoss:    r.MessageLoss.uniform(rng),
		PartitionShare: r.PartitionShare.uniform(rng), Partition: window(rng),
		BurstFactor: r.BurstFactor.uniform(rng), BurstWindow: window(rng),
		RetryAfterCompliance: r.RetryAfterCompliance.uniform(rng),
	}
	if rng.Float64() < 0.25 {
		d.RestartAt = time.Duration((8 + 14*rng.Float64()) * float64(time.Second))
	}
	total := 0.0
	for range r.Services.uniformInt(rng) {
		s := r.service(rng)
		for _, k := range s.Kinds {
			total += k.RequestsPerSecond
		}
		d.Services = append(d.Services, s)
	}
	d.Workspaces = r.workspaces(rng, total)
	return d
}

// window draws a span of 3 to 8 seconds in the middle of the play.
func window(rng *rand.Rand) Window {
	from := time.Duration((5 + 15*rng.Float64()) * float64(time.Second))
	return Window{from, from + time.Duration((3+5*rng.Float64())*float64(time.Second))}
}

func (r Ranges) service(rng *rand.Rand) Service {
	s := Service{
		Servers: r.Servers.uniformInt(rng), Slots: r.Slots.uniformInt(rng), Queue: r.Queue.uniformInt(rng),
		ErrorShare: r.ErrorShare.uniform(rng),
		Faults: Faults{
			Share: r.FaultShare.logUniform(rng), FailureShare: r.FaultFailureShare.uniform(rng), Mode: Mode(rng.IntN(int(modes))),
			MeanDuration: time.Duration(r.FaultSeconds.logUniform(rng) * float64(time.Second)),
		},
	}
	if rng.Float64() < 0.25 {
		s.ShedShare, s.ShedWindow = r.ShedShare.uniform(rng), window(rng)
	}
	slowest := r.Slowdown.uniform(rng)
	speed := 0.0
	for range s.Servers {
		x := 1 + rng.Float64()*(slowest-1)
		s.Slowdowns = append(s.Slowdowns, x)
		speed += 1 / x
	}
	lookups := r.IdempotentShare.uniform(rng)
	busy := r.Utilization.uniform(rng) * speed * float64(s.Slots)
	for _, k := range []struct {
		repeatable bool
		share      float64
	}{{true, lookups}, {false, 1 - lookups}} {
		if k.share < 0.01 {
			continue
		}
		kind := r.kind(rng, k.repeatable)
		kind.RequestsPerSecond = busy * k.share / kind.ServiceTime.Seconds()
		kind.limitRate(maxRequestsPerSecond)
		s.Kinds = append(s.Kinds, kind)
	}
	return s
}

// maxRequestsPerSecond bounds the requests of a kind, so that a play takes a tenth of a
// second. Above that its work takes longer instead, at the same use of slots.
const maxRequestsPerSecond = 60

func (k *RequestKind) limitRate(most float64) {
	if k.RequestsPerSecond <= most {
		return
	}
	by := k.RequestsPerSecond / most
	longer := func(d time.Duration) time.Duration { return time.Duration(float64(d) * by) }
	k.ServiceTime, k.LatencyTarget, k.Timeout, k.RequestsPerSecond = longer(k.ServiceTime), longer(k.LatencyTarget), longer(k.Timeout), most
}

func (r Ranges) kind(rng *rand.Rand, repeatable bool) RequestKind {
	work := r.ServiceTimeMS.logUniform(rng) * float64(time.Millisecond)
	aim := work * r.LatencyTargetFactor.uniform(rng)
	return RequestKind{
		Idempotent: repeatable, ServiceTime: time.Duration(work), Spread: r.Spread.uniform(rng),
		LatencyTarget: time.Duration(aim), Timeout: time.Duration(aim * r.TimeoutFactor.uniform(rng)),
	}
}

// workspaces share the load unevenly; the first asks for more than its rate.
func (r Ranges) workspaces(rng *rand.Rand, perSecond float64) []Workspace {
	all := make([]Workspace, r.Workspaces.uniformInt(rng))
	sum := 0.0
	for i := range all {
		all[i].Share = 0.2 + rng.Float64()
		sum += all[i].Share
	}
	for i := range all {
		all[i].Share /= sum
		all[i].Rate = perSecond * all[i].Share * 2.5
		if i == 0 {
			all[i].Rate = perSecond * all[i].Share / r.HotWorkspaceFactor.uniform(rng)
		}
		all[i].Burst = all[i].Rate
	}
	return all
}

// String tells the deployment in a line.
func (d Deployment) String() string {
	s := fmt.Sprintf("%d instances in %d data centres, %s between them", d.Instances, d.DataCentres, d.MessageDelay.Round(time.Millisecond/10))
	for _, v := range d.Services {
		s += fmt.Sprintf("; %d servers with %d slots, %.0f%% in spells of %s, %.0f%% fail by %s",
			v.Servers, v.Slots, 100*v.Faults.Share, v.Faults.MeanDuration.Round(time.Second/10), 100*v.Faults.FailureShare, v.Faults.Mode)
	}
	return s
}
