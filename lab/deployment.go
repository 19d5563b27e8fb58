package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Range is the range that a parameter is drawn from.
type Range struct{ Low, High float64 }

// uniform draws from the uniform distribution.
func (r Range) uniform(rng *rand.Rand) float64 { return r.Low + rng.Float64()*(r.High-r.Low) }

// logUniform draws uniformly on a logarithmic scale, for ranges that span orders of
// magnitude.
func (r Range) logUniform(rng *rand.Rand) float64 {
	return r.Low * math.Pow(r.High/r.Low, rng.Float64())
}

func (r Range) uniformInt(rng *rand.Rand) int { return int(math.Round(r.uniform(rng))) }

// Ranges are the ranges that deployments are drawn from. They are wide to keep
// policies from being tuned to one deployment.
type Ranges struct {
	Instances, DataCentres, Services, Workspaces Range
	// Servers is the number of servers of a service, Slots and Queue the slots and the
	// queue length of each.
	Servers, Slots, Queue Range
	// Slowdown is how many times longer a service's slowest server takes than its
	// fastest.
	Slowdown Range
	// Utilization is the share of a service's slots that requests keep busy.
	Utilization Range
	// ServiceTimeMS is the mean service time of a kind of request, Spread its standard
	// deviation as a share of the mean.
	ServiceTimeMS, Spread Range
	// LatencyTargetFactor is the latency target as a multiple of the mean service time,
	// TimeoutFactor the timeout as a multiple of the latency target.
	LatencyTargetFactor, TimeoutFactor Range
	// IdempotentShare is the share of a service's requests that are idempotent.
	IdempotentShare Range
	// ErrorShare is the share of requests that healthy servers answer with an error.
	ErrorShare Range
	// FaultShare of the servers are faulty at any time, for FaultSeconds on average;
	// FaultFailureShare of the requests fail during a fault.
	FaultShare, FaultSeconds, FaultFailureShare Range
	// ShedShare of the requests is shed regardless of load, in a window of some
	// seconds, at some services.
	ShedShare Range
	// MessageDelayMS is the delay of a message between instances, MessageLoss the share
	// of messages that are lost.
	MessageDelayMS, MessageLoss Range
	// PartitionShare is the share of paths between instances and servers that are
	// partitioned in a window.
	PartitionShare Range
	// BurstFactor is the load in a window of some seconds as a multiple of the usual
	// load.
	BurstFactor Range
	// HotWorkspaceFactor is the load of the hot workspace as a multiple of its rate
	// limit.
	HotWorkspaceFactor Range
	// RetryAfterCompliance is the share of callers that obey Retry-After.
	RetryAfterCompliance Range
}

// Wide is the default set of ranges.
var Wide = Ranges{
	Instances: Range{6, 48}, DataCentres: Range{1, 4}, Services: Range{1, 3}, Workspaces: Range{4, 12},
	Servers: Range{4, 20}, Slots: Range{2, 8}, Queue: Range{4, 16}, Slowdown: Range{1, 2.5},
	Utilization: Range{0.1, 0.6}, ServiceTimeMS: Range{20, 800}, Spread: Range{0.1, 0.9},
	LatencyTargetFactor: Range{2, 5}, TimeoutFactor: Range{1.5, 6}, IdempotentShare: Range{0, 0.9}, ErrorShare: Range{0, 0.02},
	FaultShare: Range{0.01, 0.5}, FaultSeconds: Range{2, 30}, FaultFailureShare: Range{0.4, 1},
	ShedShare: Range{0.2, 0.7}, MessageDelayMS: Range{0.3, 30}, MessageLoss: Range{0, 0.05},
	PartitionShare: Range{0, 0.3}, BurstFactor: Range{1, 2}, HotWorkspaceFactor: Range{1, 6}, RetryAfterCompliance: Range{0.5, 1},
}

// Mode is how requests fail at a faulty server.
type Mode int

// Failure modes.
const (
	// Reset closes the connection at once.
	Reset Mode = iota
	// Hang occupies a slot and never answers.
	Hang
	// Error answers at once with a server error.
	Error
	// Slow takes five times the service time.
	Slow
	// Truncate closes the connection in the middle of the answer, after the service
	// time.
	Truncate
	// Blackhole occupies no slot and never answers.
	Blackhole
	// LoseAnswer executes the request but never answers.
	LoseAnswer
	modes
)

var modeNames = [...]string{"reset", "hang", "error", "slow", "half", "mute", "lost"}

// String returns the mode's name.
func (m Mode) String() string { return modeNames[m] }

// Deployment is the fleet, load and faults of one run.
type Deployment struct {
	Instances, DataCentres int
	Services               []Service
	Workspaces             []Workspace
	MessageDelay           time.Duration
	MessageLoss            float64
	// PartitionShare of the paths is partitioned in the window Partition.
	PartitionShare float64
	Partition      Window
	// The load is BurstFactor times the usual load in the window BurstWindow.
	BurstFactor float64
	BurstWindow Window
	// RestartAt is when all instances restart and lose their state; 0 means never.
	RestartAt            time.Duration
	RetryAfterCompliance float64
}

// Window is the time span from From up to, but not including, To.
type Window struct{ From, To time.Duration }

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.To }

// Workspace has a rate limit with a burst, and a share of all requests.
type Workspace struct {
	Rate, Burst, Share float64
}

// Service is a group of backend servers and the kinds of requests that it receives.
type Service struct {
	Servers, Slots, Queue int
	// Slowdowns are the servers' service times relative to the fastest server.
	Slowdowns  []float64
	ErrorShare float64
	Faults     Faults
	// ShedShare of the requests is shed in ShedWindow.
	ShedShare  float64
	ShedWindow Window
	Kinds      []RequestKind
}

// Faults describes the periods in which a service's servers are faulty.
type Faults struct {
	Share, FailureShare float64
	MeanDuration        time.Duration
	Mode                Mode
}

// RequestKind is a kind of request with its rate and timing.
type RequestKind struct {
	Idempotent             bool
	RequestsPerSecond      float64
	ServiceTime            time.Duration
	Spread                 float64
	LatencyTarget, Timeout time.Duration
}

// SimulationLength is the simulated time of a run; requests that arrive within
// WarmUp don't count.
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

// window draws a window of 3 to 8 s that starts 5 to 20 s into the run.
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
	idempotentShare := r.IdempotentShare.uniform(rng)
	busy := r.Utilization.uniform(rng) * speed * float64(s.Slots)
	for _, k := range []struct {
		idempotent bool
		share      float64
	}{{true, idempotentShare}, {false, 1 - idempotentShare}} {
		if k.share < 0.01 {
			continue
		}
		kind := r.kind(rng, k.idempotent)
		kind.RequestsPerSecond = busy * k.share / kind.ServiceTime.Seconds()
		kind.limitRate(maxRequestsPerSecond)
		s.Kinds = append(s.Kinds, kind)
	}
	return s
}

// maxRequestsPerSecond limits the rate of a kind of request, so that a run takes about
// 0.1 s. Above it the service time grows instead, at the same utilization.
const maxRequestsPerSecond = 60

func (k *RequestKind) limitRate(most float64) {
	if k.RequestsPerSecond <= most {
		return
	}
	by := k.RequestsPerSecond / most
	longer := func(d time.Duration) time.Duration { return time.Duration(float64(d) * by) }
	k.ServiceTime, k.LatencyTarget, k.Timeout, k.RequestsPerSecond = longer(k.ServiceTime), longer(k.LatencyTarget), longer(k.Timeout), most
}

func (r Ranges) kind(rng *rand.Rand, idempotent bool) RequestKind {
	serviceTime := r.ServiceTimeMS.logUniform(rng) * float64(time.Millisecond)
	latencyTarget := serviceTime * r.LatencyTargetFactor.uniform(rng)
	return RequestKind{
		Idempotent: idempotent, ServiceTime: time.Duration(serviceTime), Spread: r.Spread.uniform(rng),
		LatencyTarget: time.Duration(latencyTarget), Timeout: time.Duration(latencyTarget * r.TimeoutFactor.uniform(rng)),
	}
}

// workspaces distributes the load unevenly; the first workspace exceeds its rate limit.
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

// String describes the deployment in one line.
func (d Deployment) String() string {
	s := fmt.Sprintf("%d instances in %d data centres, %s between them", d.Instances, d.DataCentres, d.MessageDelay.Round(time.Millisecond/10))
	for _, v := range d.Services {
		s += fmt.Sprintf("; %d servers with %d slots, %.0f%% faulty for %s on average, %.0f%% of requests fail with mode %s",
			v.Servers, v.Slots, 100*v.Faults.Share, v.Faults.MeanDuration.Round(time.Second/10), 100*v.Faults.FailureShare, v.Faults.Mode)
	}
	return s
}
