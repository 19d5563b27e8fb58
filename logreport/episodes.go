package logreport

import (
	"sort"
	"time"
)

const (
	// episodeGap is the longest time between failures of one episode. A value
	// below the fleet's retry pauses would count each retry as an episode.
	episodeGap = 5 * time.Second
	// minAvoidedTime is the time without a request after which a server counts as
	// excluded while its service has requests.
	minAvoidedTime = 2 * time.Second
)

// FailureEpisode is a period of repeated failures of a server.
type FailureEpisode struct {
	Server  string    `json:"server"`
	Service string    `json:"service"`
	From    time.Time `json:"from"`
	// Attempts counts failed attempts, Lost the requests not served because of them.
	Attempts int `json:"attempts"`
	Lost     int `json:"lost"`
	// DetectionMS is the time from the first failure to the start of the last
	// attempt before the first pause, in milliseconds.
	DetectionMS int64 `json:"detection_ms"`
	// Results counts the attempts by result.
	Results map[string]int `json:"results"`
	until   time.Time
}

// Detection summarizes failure episodes.
type Detection struct {
	Episodes int   `json:"spells"`
	Attempts int   `json:"attempts"`
	Lost     int   `json:"lost"`
	MedianMS int64 `json:"median_ms"`
	MaxMS    int64 `json:"most_ms"`
}

// AvoidedServer is a healthy server that was excluded.
type AvoidedServer struct {
	Server string    `json:"server"`
	From   time.Time `json:"from"`
	ForMS  int64     `json:"for_ms"`
}

// episodes groups failed attempts by server and time.
func (l *Lines) episodes() []FailureEpisode {
	lost := make(map[string]bool)
	for _, req := range l.requests {
		if o := req.outcome(); o == failed || o == refused {
			lost[req.id] = true
		}
	}
	starts := l.starts()
	open := make(map[string]*FailureEpisode)
	var all []*FailureEpisode
	for _, a := range l.attempts {
		if !a.countsAgainstServer() {
			continue
		}
		s := open[a.server]
		if s == nil || a.ended.Sub(s.until) > episodeGap {
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
	episodes := make([]FailureEpisode, 0, len(all))
	for _, s := range all {
		s.DetectionMS = lastBeforePause(starts[s.Server], s.From).Milliseconds()
		episodes = append(episodes, *s)
	}
	return episodes
}

// starts are the times at which requests were sent to each server, in order.
func (l *Lines) starts() map[string][]time.Time {
	starts := make(map[string][]time.Time)
	for _, a := range l.attempts {
		starts[a.server] = append(starts[a.server], a.ended.Add(-a.took))
	}
	for _, req := range l.requests {
		if o := req.outcome(); req.server != "" && (o == served || o == late) {
			// A retried request starts before its last attempt, so the
			// start is too early then, never too late.
			starts[req.server] = append(starts[req.server], req.ended.Add(-req.took))
		}
	}
	for _, s := range starts {
		sort.Slice(s, func(i, j int) bool { return s[i].Before(s[j]) })
	}
	return starts
}

// detectionPause is the time without a request after which a failure counts
// as detected.
const detectionPause = time.Second

// lastBeforePause returns how long after from requests were still sent before
// the first detectionPause.
func lastBeforePause(starts []time.Time, from time.Time) time.Duration {
	last := from
	for _, s := range starts {
		if s.Before(from) {
			continue
		}
		if s.Sub(last) > detectionPause {
			break
		}
		last = s
	}
	return last.Sub(from)
}

func detection(episodes []FailureEpisode) Detection {
	d := Detection{Episodes: len(episodes)}
	var times []int64
	for _, s := range episodes {
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

// excludedHealthy finds servers that got no request for minAvoidedTime after a
// single failed attempt and whose next attempt succeeded.
func (l *Lines) excludedHealthy(episodes []FailureEpisode) []AvoidedServer {
	starts := l.starts()
	failures := make(map[string][]time.Time)
	for _, a := range l.attempts {
		if a.countsAgainstServer() {
			failures[a.server] = append(failures[a.server], a.ended.Add(-a.took))
		}
	}
	var all []AvoidedServer
	for _, s := range episodes {
		if s.Attempts != 1 {
			continue
		}
		next, found := firstAfter(starts[s.Server], s.From)
		if !found || next.Sub(s.From) < minAvoidedTime {
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
