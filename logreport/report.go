package logreport

import (
	"sort"
	"time"
)

// Report is the aggregate of a fleet's log lines.
type Report struct {
	All        Count            `json:"all"`
	Routes     map[string]Count `json:"routes"`
	Workspaces map[string]Count `json:"workspaces"`
	Services   map[string]Count `json:"services"`
	// Servers counts requests by the server whose answer they got.
	Servers map[string]Count `json:"servers"`
	// Rules counts the requests that weren't served by the rule that ended them.
	Rules map[string]int `json:"rules"`
	// Results counts failed attempts by how they failed.
	Results  map[string]int   `json:"results"`
	Seconds  []Second         `json:"seconds"`
	Episodes []FailureEpisode `json:"spells"`
	// Detection is the median and the longest time from an episode's first
	// failure to the last request before instances stopped sending.
	Detection Detection `json:"detection"`
	// ExcludedHealthy are healthy servers excluded after a single failure.
	ExcludedHealthy []AvoidedServer `json:"falsely_avoided"`
	// RefusedWithinRate counts, per workspace, the requests that were refused for
	// the rate although one bucket for the whole fleet would have paid for them.
	RefusedWithinRate map[string]int `json:"refused_inside"`
	// WorstWorkspace is the workspace with the smallest share served, apart from
	// those that exceeded their rate.
	WorstWorkspace string `json:"worst_workspace"`
	// DroppedLines is the number of lines that instances dropped, UnparsedLines the
	// number that could not be parsed.
	DroppedLines  uint64 `json:"lines_left_out"`
	UnparsedLines int    `json:"lines_unread"`
}

// Count of requests by how they ended.
type Count struct {
	Served       int `json:"served"`
	Late         int `json:"late"`
	Refused      int `json:"refused"`
	Failed       int `json:"failed"`
	ClientErrors int `json:"not_owed"`
}

// Eligible is the number of requests that should have been served: all but those
// that were invalid or whose callers disconnected.
func (c Count) Eligible() int { return c.Served + c.Late + c.Refused + c.Failed }

// Share is the fraction of the eligible requests that were served, late ones
// included.
func (c Count) Share() float64 {
	if c.Eligible() == 0 {
		return 1
	}
	return float64(c.Served+c.Late) / float64(c.Eligible())
}

func (c Count) with(o outcome) Count {
	switch o {
	case served:
		c.Served++
	case late:
		c.Late++
	case refused:
		c.Refused++
	case failed:
		c.Failed++
	case clientError:
		c.ClientErrors++
	}
	return c
}

// Second counts the requests that ended in one second.
type Second struct {
	// At is the time since the first line, in whole seconds.
	At int `json:"at_s"`
	Count
	Rules map[string]int `json:"rules"`
}

// Report computes the report.
func (l *Lines) Report() Report {
	l.sort()
	r := Report{
		Routes: map[string]Count{}, Workspaces: map[string]Count{}, Services: map[string]Count{},
		Servers: map[string]Count{}, Rules: map[string]int{}, Results: map[string]int{},
		RefusedWithinRate: l.refusedWithinRate(), UnparsedLines: l.unparsedLines,
	}
	for _, n := range l.droppedLines {
		r.DroppedLines += n
	}
	seconds := make(map[int]*Second)
	for _, req := range l.requests {
		r.count(req)
		r.countSecond(seconds, int(req.ended.Sub(l.requests[0].ended)/time.Second), req)
	}
	for _, s := range seconds {
		r.Seconds = append(r.Seconds, *s)
	}
	sort.Slice(r.Seconds, func(i, j int) bool { return r.Seconds[i].At < r.Seconds[j].At })
	for _, a := range l.attempts {
		r.Results[a.result]++
	}
	r.Episodes = l.episodes()
	r.Detection = detection(r.Episodes)
	r.ExcludedHealthy = l.excludedHealthy(r.Episodes)
	r.WorstWorkspace = r.worst()
	return r
}

func (r *Report) count(req request) {
	o := req.outcome()
	r.All = r.All.with(o)
	add := func(m map[string]Count, key string) {
		if key != "" {
			m[key] = m[key].with(o)
		}
	}
	add(r.Routes, req.route)
	add(r.Workspaces, req.workspace)
	add(r.Services, req.service)
	add(r.Servers, req.server)
	if o == refused || o == failed {
		r.Rules[req.rule]++
	}
}

func (r *Report) countSecond(seconds map[int]*Second, at int, req request) {
	s, ok := seconds[at]
	if !ok {
		s = &Second{At: at, Rules: map[string]int{}}
		seconds[at] = s
	}
	o := req.outcome()
	s.Count = s.Count.with(o)
	if o == refused || o == failed {
		s.Rules[req.rule]++
	}
}

// worst is the workspace with the smallest share served. Refusals that the
// workspace's rate explains do not count against the fleet.
func (r *Report) worst() string {
	worst, least := "", 2.0
	for name, c := range r.Workspaces {
		if share := c.Share(); share < least || (share == least && name < worst) {
			worst, least = name, share
		}
	}
	return worst
}

// overRate is the rule of refusals for a workspace's rate.
const overRate = "over-rate"

// refusedWithinRate replays, for each workspace, one bucket of its rate and burst
// for the whole fleet.
func (l *Lines) refusedWithinRate() map[string]int {
	type bucket struct {
		tokens float64
		at     time.Time
	}
	byStart := append([]request(nil), l.requests...)
	sort.SliceStable(byStart, func(i, j int) bool {
		return byStart[i].ended.Add(-byStart[i].took).Before(byStart[j].ended.Add(-byStart[j].took))
	})
	buckets := make(map[string]*bucket)
	withinRate := make(map[string]int)
	for _, req := range byStart {
		if req.workspace == "" || req.rate == 0 {
			continue
		}
		start := req.ended.Add(-req.took)
		b, ok := buckets[req.workspace]
		if !ok {
			b = &bucket{req.burst, start}
			buckets[req.workspace] = b
		}
		b.tokens = min(b.tokens+req.rate*start.Sub(b.at).Seconds(), req.burst)
		b.at = start
		switch {
		case req.rule == overRate && b.tokens >= 1:
			withinRate[req.workspace]++
		case req.rule == overRate || req.outcome() == refused:
			continue
		}
		b.tokens--
	}
	return withinRate
}
