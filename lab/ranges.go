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

// scaled draws evenly on a logarithmic scale, for figures that span tenfolds.
func (r Range) scaled(rng *rand.Rand) float64 {
	return r.Low * math.Pow(r.High/r.Low, rng.Float64())
}

func (r Range) whole(rng *rand.Rand) int { return int(math.Round(r.uniform(rng))) }

// Ranges are what deployments are drawn from. They are wide, so that nobody can
// fit a policy to one deployment.
type Ranges struct {
	Instances, DataCentres, Services, Workspaces Range
	// Servers of a service, with Slots and a Queue each.
	Servers, Slots, Queue Range
	// Speed is how much slower than the fastest a service's slowest server is.
	Speed Range
	// Use is the share of a service's slots that requests keep busy.
	Use Range
	// WorkMS is the mean of a kind's work, Spread its deviation, as a share of
	// the mean.
	WorkMS, Spread Range
	// Aim is a kind's aim in means of its work, Patience the route's timeout in
	// aims.
	Aim, Patience Range
	// Lookups is the share of a service's requests that can be repeated.
	Lookups Range
	// Errors is the share of requests that healthy servers answer with a
	// failure.
	Errors Range
	// SpellShare of the servers is in a spell at any time, each SpellS long,
	// in which SpellFails of the requests fail.
	SpellShare, SpellS, SpellFails Range
	// ShedShare of the requests is refused whatever the load, in a window of
	// some seconds, at some services.
	ShedShare Range
	// MessageMS is the delay of a message between instances, MessageLoss the
	// share that is lost.
	MessageMS, MessageLoss Range
	// CutShare of the paths between instances and servers is cut for a while.
	CutShare Range
	// Burst is how many times the usual load comes in a window of seconds.
	Burst Range
	// Hot is how many times its rate the hottest workspace asks for.
	Hot Range
	// Honest is the share of callers that keep to Retry-After.
	Honest Range
}

// Wide are the ranges of all experiments.
var Wide = Ranges{
	Instances: Range{6, 48}, DataCentres: Range{1, 4}, Services: Range{1, 3}, Workspaces: Range{4, 12},
	Servers: Range{4, 20}, Slots: Range{2, 8}, Queue: Range{4, 16}, Speed: Range{1, 2.5},
	Use: Range{0.1, 0.6}, WorkMS: Range{20, 800}, Spread: Range{0.1, 0.9},
	Aim: Range{2, 5}, Patience: Range{1.5, 6}, Lookups: Range{0, 0.9}, Errors: Range{0, 0.02},
	SpellShare: Range{0.01, 0.5}, SpellS: Range{2, 30}, SpellFails: Range{0.4, 1},
	ShedShare: Range{0.2, 0.7}, MessageMS: Range{0.3, 30}, MessageLoss: Range{0, 0.05},
	CutShare: Range{0, 0.3}, Burst: Range{1, 2}, Hot: Range{1, 6}, Honest: Range{0.5, 1},
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
	// Half breaks the answer off after the work.
	Half
	// Mute takes no slot and never answers.
	Mute
	// Lost runs the request and loses its answer.
	Lost
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
	// CutShare of the paths is cut in the window Cut.
	CutShare float64
	Cut      Window
	// Burst times the usual load comes in the window Bursts.
	Burst  float64
	Bursts Window
	// KillAt is when all instances lose what they know; 0 if never.
	KillAt time.Duration
	Honest float64
}

// Window is a span of time.
type Window struct{ From, To time.Duration }

func (w Window) holds(t time.Duration) bool { return t >= w.From && t < w.To }

// Workspace has a rate and burst, and a share of all requests.
type Workspace struct {
	Rate, Burst, Share float64
}

// Service is a group of servers and the kinds of requests that it gets.
type Service struct {
	Servers, Slots, Queue int
	// Speeds are the servers' times against the fastest.
	Speeds []float64
	Errors float64
	Spells Spells
	// ShedShare of the requests is refused in the window Shed.
	ShedShare float64
	Shed      Window
	Kinds     []Kind
}

// Spells are times in which a server fails.
type Spells struct {
	Share, Fails float64
	Length       time.Duration
	Mode         Mode
}

// Kind is a kind of request.
type Kind struct {
	Repeatable   bool
	PerSecond    float64
	Work         time.Duration
	Spread       float64
	Aim, Timeout time.Duration
}

// Length of a play, of which the first Settle seconds don't count.
const (
	Length = 30 * time.Second
	Settle = 3 * time.Second
)

// Draw draws a deployment.
func (r Ranges) Draw(rng *rand.Rand) Deployment {
	d := Deployment{
		Instances: r.Instances.whole(rng), DataCentres: r.DataCentres.whole(rng),
		MessageDelay: time.Duration(r.MessageMS.scaled(rng) * float64(time.Millisecond)),
		MessageLoss:  r.MessageLoss.uniform(rng),
		CutShare:     r.CutShare.uniform(rng), Cut: window(rng),
		Burst: r.Burst.uniform(rng), Bursts: window(rng),
		Honest: r.Honest.uniform(rng),
	}
	if rng.Float64() < 0.25 {
		d.KillAt = time.Duration((8 + 14*rng.Float64()) * float64(time.Second))
	}
	total := 0.0
	for range r.Services.whole(rng) {
		s := r.service(rng)
		for _, k := range s.Kinds {
			total += k.PerSecond
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
		Servers: r.Servers.whole(rng), Slots: r.Slots.whole(rng), Queue: r.Queue.whole(rng),
		Errors: r.Errors.uniform(rng),
		Spells: Spells{
			Share: r.SpellShare.scaled(rng), Fails: r.SpellFails.uniform(rng), Mode: Mode(rng.IntN(int(modes))),
			Length: time.Duration(r.SpellS.scaled(rng) * float64(time.Second)),
		},
	}
	if rng.Float64() < 0.25 {
		s.ShedShare, s.Shed = r.ShedShare.uniform(rng), window(rng)
	}
	slowest := r.Speed.uniform(rng)
	speed := 0.0
	for range s.Servers {
		x := 1 + rng.Float64()*(slowest-1)
		s.Speeds = append(s.Speeds, x)
		speed += 1 / x
	}
	lookups := r.Lookups.uniform(rng)
	busy := r.Use.uniform(rng) * speed * float64(s.Slots)
	for _, k := range []struct {
		repeatable bool
		share      float64
	}{{true, lookups}, {false, 1 - lookups}} {
		if k.share < 0.01 {
			continue
		}
		kind := r.kind(rng, k.repeatable)
		kind.PerSecond = busy * k.share / kind.Work.Seconds()
		kind.slowTo(mostPerSecond)
		s.Kinds = append(s.Kinds, kind)
	}
	return s
}

// mostPerSecond bounds the requests of a kind, so that a play takes a tenth of a
// second. Above that its work takes longer instead, at the same use of slots.
const mostPerSecond = 60

func (k *Kind) slowTo(most float64) {
	if k.PerSecond <= most {
		return
	}
	by := k.PerSecond / most
	longer := func(d time.Duration) time.Duration { return time.Duration(float64(d) * by) }
	k.Work, k.Aim, k.Timeout, k.PerSecond = longer(k.Work), longer(k.Aim), longer(k.Timeout), most
}

func (r Ranges) kind(rng *rand.Rand, repeatable bool) Kind {
	work := r.WorkMS.scaled(rng) * float64(time.Millisecond)
	aim := work * r.Aim.uniform(rng)
	return Kind{
		Repeatable: repeatable, Work: time.Duration(work), Spread: r.Spread.uniform(rng),
		Aim: time.Duration(aim), Timeout: time.Duration(aim * r.Patience.uniform(rng)),
	}
}

// workspaces share the load unevenly; the first asks for more than its rate.
func (r Ranges) workspaces(rng *rand.Rand, perSecond float64) []Workspace {
	all := make([]Workspace, r.Workspaces.whole(rng))
	sum := 0.0
	for i := range all {
		all[i].Share = 0.2 + rng.Float64()
		sum += all[i].Share
	}
	for i := range all {
		all[i].Share /= sum
		all[i].Rate = perSecond * all[i].Share * 2.5
		if i == 0 {
			all[i].Rate = perSecond * all[i].Share / r.Hot.uniform(rng)
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
			v.Servers, v.Slots, 100*v.Spells.Share, v.Spells.Length.Round(time.Second/10), 100*v.Spells.Fails, v.Spells.Mode)
	}
	return s
}
