// Package logreport tells from the structured lines of any number of instances
// who was served and who wasn't, and what the fleet knew of its backend servers
// when it decided.
//
// Idea: an instance writes a line when a request ends and one when an attempt
// fails. Put together over the fleet and in order of time they give the
// measures that callers feel: served, late, refused and failed requests by
// route, workspace, service and rule; the spells in which servers failed, what
// each spell cost and how long requests were still sent into it; servers that
// were left out though they were well; refusals inside a workspace's rate.
//
// Trade-off: lines are bounded under load (event 533), and good answers go
// first. A report says how many lines were left out; its shares are then too
// low for what was served.
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

// request is a line that tells how a caller's request ended.
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

// attempt is a line that tells how an attempt failed.
type attempt struct {
	request string
	ended   time.Time
	took    time.Duration
	server  string
	service string
	result  string
}

// Lines are the lines of a fleet that a report is made of.
type Lines struct {
	requests []request
	attempts []attempt
	// leftOut is the number of lines that instances left out.
	leftOut map[string]uint64
	// unread counts lines that couldn't be read.
	unread int
}

// document is a line as it is written. Fields that a line lacks are zero.
type document struct {
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

// Read takes in lines. What stands before the first brace of a line, such as a
// collector's time or the name of a machine, is passed over, and so are lines
// of other events and lines without a brace.
func (l *Lines) Read(in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var d document
		if err := json.Unmarshal(s.Bytes()[start:], &d); err != nil {
			l.unread++
			continue
		}
		l.take(d)
	}
	return errors.Wrap(s.Err(), "log lines")
}

func (l *Lines) take(d document) {
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
		if l.leftOut == nil {
			l.leftOut = make(map[string]uint64)
		}
		l.leftOut[d.Instance] = max(l.leftOut[d.Instance], d.Count)
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
	// notOwed: the request was wrong, or its caller left.
	notOwed
)

// outcome of a request. 408, 421, 429 and 503 promise that it didn't run.
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
		return notOwed
	}
}

// accuses reports whether an attempt's result counts against its server.
func (a attempt) accuses() bool {
	switch a.result {
	case health.ServerError.String(), health.Timeout.String(), health.Incomplete.String(), health.Mismatch.String():
		return true
	}
	return false
}
