package logreport

import (
	"sort"
	"time"
)

const (
	// spellGap ends a spell: a server that fails again later is in another
	// one. Shorter than the pauses that the fleet makes before it tries again
	// would count each try as a spell.
	spellGap = 5 * time.Second
	// avoidedFor is the time without a request from which a server counts as
	// left out, while its service has requests.
	avoidedFor = 2 * time.Second
)

// FailureEpisode is a time in which a server failed requests again and again.
type FailureEpisode struct {
	Server  string    `json:"server"`
	Service string    `json:"service"`
	From    time.Time `json:"from"`
	// Attempts that failed, and Lost requests that weren't served for it.
	Attempts int `json:"attempts"`
	Lost     int `json:"lost"`
	// DetectionMS is the time from the first failure to the start of the last
	// attempt before the first pause, in milliseconds.
	DetectionMS int64 `json:"detection_ms"`
	// Results of the attempts.
	Results map[string]int `json:"results"`
	until   time.Time
}

// Detection sums up spells.
type Detection struct {
	Episodes   int   `json:"spells"`
	Attempts int   `json:"attempts"`
	Lost     int   `json:"lost"`
	MedianMS int64 `json:"median_ms"`
	MaxMS   int64 `json:"most_ms"`
}

// AvoidedServer is a server that was left out although it was well.
type AvoidedServer struct {
	Server string    `json:"server"`
	From   time.Time `json:"from"`
	ForMS  int64     `json:"for_ms"`
}

// spells groups failed attempts by server and time.
func (l *Lines) spells() []FailureEpisode {
	lost := make(map[string]bool)
	for _, q := range l.requests {
		if o := q.outcome(); o == failed || o == refused {
			lost[q.id] = true
		}
	}
	starts := l.starts()
	open := make(map[string]*FailureEpisode)
	var all []*FailureEpisode
	for _, a := range l.attempts {
		if !a.accuses() {
			continue
		}
		s := open[a.server]
		if s == nil || a.ended.Sub(s.until) > spellGap {
			s = &FailureEpisode{Server: a.server, Service: a.service, From: a.ended, Results: map[string]int{}}
			open[a.server] = s
			all = append(all, s)
		}
		s.until = a.ended
		s.Attempts++
		s.Results[a.result]++
		if lost[a.request] {
			s.Lost++
			delete(lost, a.request)
		}
	}
	spells := make([]FailureEpisode, 0, len(all))
	for _, s := range all {
		s.DetectionMS = lastBeforePause(starts[s.Server], s.From).Milliseconds()
		spells = append(spells, *s)
	}
	return spells
}

// starts are the times at which requests were sent to each server, in order.
func (l *Lines) starts() map[string][]time.Time {
	starts := make(map[string][]time.Time)
	for _, a := range l.attempts {
		starts[a.server] = append(starts[a.server], a.ended.Add(-a.took))
	}
	for _, q := range l.requests {
		if o := q.outcome(); q.server != "" && (o == served || o == late) {
			// The time of a request that was repeated begins before its last
			// attempt; what is told is too early then, never too late.
			starts[q.server] = append(starts[q.server], q.ended.Add(-q.took))
		}
	}
	for _, s := range starts {
		sort.Slice(s, func(i, j int) bool { return s[i].Before(s[j]) })
	}
	return starts
}

// pause is the time without a request from which the fleet has learnt.
const pause = time.Second

// lastBeforePause is how long after a moment requests were still sent until
// the first pause.
func lastBeforePause(starts []time.Time, from time.Time) time.Duration {
	last := from
	for _, s := range starts {
		if s.Before(from) {
			continue
		}
		if s.Sub(last) > pause {
			break
		}
		last = s
	}
	return last.Sub(from)
}

func detection(spells []FailureEpisode) Detection {
	d := Detection{Episodes: len(spells)}
	var times []int64
	for _, s := range spells {
		d.Attempts += s.Attempts
		d.Lost += s.Lost
		times = append(times, s.DetectionMS)
	}
	if len(times) == 0 {
		return d
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	d.MedianMS, d.MaxMS = times[len(times)/2], times[len(times)-1]
	return d
}

// falselyAvoided finds servers without a request for long after a spell of one
// failed attempt, whose next attempt was served.
func (l *Lines) falselyAvoided(spells []FailureEpisode) []AvoidedServer {
	starts := l.starts()
	failures := make(map[string][]time.Time)
	for _, a := range l.attempts {
		if a.accuses() {
			failures[a.server] = append(failures[a.server], a.ended.Add(-a.took))
		}
	}
	var all []AvoidedServer
	for _, s := range spells {
		if s.Attempts != 1 {
			continue
		}
		next, found := firstAfter(starts[s.Server], s.From)
		if !found || next.Sub(s.From) < avoidedFor {
			continue
		}
		if bad, again := firstAfter(failures[s.Server], s.From); again && bad.Equal(next) {
			continue
		}
		all = append(all, AvoidedServer{s.Server, s.From, next.Sub(s.From).Milliseconds()})
	}
	return all
}

func firstAfter(times []time.Time, t time.Time) (time.Time, bool) {
	for _, x := range times {
		if x.After(t) {
			return x, true
		}
	}
	return time.Time{}, false
}
