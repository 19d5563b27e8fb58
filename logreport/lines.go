// Package logreport aggregates the structured logs of any number of instances
// into a report on served and unserved requests and on failure detection.
//
// An instance writes a line when a request ends and one when an attempt
// fails. Merged over the fleet in order of time, they give the
// caller-visible measures: served, late, refused and failed requests by
// route, workspace, service and rule; failure episodes of servers,
// the requests lost to each and how long requests were still sent to the server;
// healthy servers that were excluded; refusals within a workspace's rate.
//
// Logging is rate-limited under load (event 533), and lines of successful
// requests are dropped first. The report gives the number of dropped lines; the
// share of served requests is then underestimated.
package logreport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
	"foxtailspoke/health"
)

// request is the log line of a completed caller request.
type request struct {
	id        string
	ended     time.Time
	took      time.Duration
	aim       time.Duration
	status    int
	rule      string
	route     string
	service   string
	workspace string
	rate      float64
	burst     float64
	server    string
}

// attempt is the log line of a failed attempt.
type attempt struct {
	request string
	ended   time.Time
	took    time.Duration
	server  string
	service string
	result  string
}

// Lines holds the parsed log lines of a fleet.
type Lines struct {
	requests []request
	attempts []attempt
	// droppedLines is the number of lines dropped, by instance.
	droppedLines map[string]uint64
	// unparsedLines counts lines that could not be parsed.
	unparsedLines int
}

// logLine is the JSON form of a line. Absent fields are zero.
type logLine struct {
	Time      time.Time `json:"time"`
	Event     int       `json:"event"`
	Instance  string    `json:"instance"`
	Request   string    `json:"request"`
	Status    int       `json:"status"`
	Rule      string    `json:"rule"`
	TookMS    int64     `json:"took_ms"`
	AimMS     int64     `json:"aim_ms"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Workspace string    `json:"workspace"`
	Rate      float64   `json:"rate"`
	Burst     float64   `json:"burst"`
	Server    string    `json:"server"`
	Result    string    `json:"result"`
	Count     uint64    `json:"count"`
}

// maxLine bounds a line; the longest that instances write is under 2 KB.
const maxLine = 1 << 20

// Read parses log lines. It skips any prefix before the first brace, such as a
// collector's timestamp or host name, lines without a brace and other events.
func (l *Lines) Read(in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var d logLine
		if err := json.Unmarshal(s.Bytes()[start:], &d); err != nil {
			l.unparsedLines++
			continue
		}
		l.add(d)
	}
	return errors.Wrap(s.Err(), "log lines")
}

func (l *Lines) add(d logLine) {
	took := time.Duration(d.TookMS) * time.Millisecond
	switch d.Event {
	case event.RequestEnded.Number:
		l.requests = append(l.requests, request{
			id: d.Request, ended: d.Time, took: took, aim: time.Duration(d.AimMS) * time.Millisecond,
			status: d.Status, rule: d.Rule, route: d.Route, service: d.Service,
			workspace: d.Workspace, rate: d.Rate, burst: d.Burst, server: d.Server,
		})
	case event.AttemptEnded.Number:
		l.attempts = append(l.attempts, attempt{
			request: d.Request, ended: d.Time, took: took,
			server: d.Server, service: d.Service, result: d.Result,
		})
	case event.LogLinesDropped.Number:
		if l.droppedLines == nil {
			l.droppedLines = make(map[string]uint64)
		}
		l.droppedLines[d.Instance] = max(l.droppedLines[d.Instance], d.Count)
	}
}

// sort puts the lines of all instances in order of time.
func (l *Lines) sort() {
	sort.SliceStable(l.requests, func(i, j int) bool { return l.requests[i].ended.Before(l.requests[j].ended) })
	sort.SliceStable(l.attempts, func(i, j int) bool { return l.attempts[i].ended.Before(l.attempts[j].ended) })
}

// outcome is how a request ended for its caller.
type outcome int

const (
	served outcome = iota
	late
	refused
	failed
	// clientError: the request was invalid, or its caller disconnected.
	clientError
)

// outcome classifies a request. 408, 421, 429 and 503 guarantee that it was
// not executed.
func (r request) outcome() outcome {
	switch {
	case r.status >= 200 && r.status < 400 && r.aim > 0 && r.took > r.aim:
		return late
	case r.status >= 200 && r.status < 400:
		return served
	case r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421:
		return refused
	case r.status >= 500:
		return failed
	default:
		return clientError
	}
}

// countsAgainstServer reports whether an attempt's result counts against its server.
func (a attempt) countsAgainstServer() bool {
	switch a.result {
	case health.ServerError.String(), health.Timeout.String(), health.Incomplete.String(), health.Mismatch.String():
		return true
	}
	return false
}
