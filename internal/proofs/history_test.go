package proofs

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

// send is one request as a caller saw it.
type sentRequest struct {
	workspace string
	key       string
	service   string
	method    string
	// path is unlike that of any other request, but for repeats of the same
	// operation.
	path string
	// size is asked of the answer; 0 leaves it to the server.
	size      int
	operation string
	body      []byte
	at        time.Time
	took      time.Duration
	// status is 0 if no whole answer came.
	status  int
	outcome string
	rule    string
	answer  []byte
	failure string
	// written is how often the caller's own HTTP library sent it: it repeats
	// a lookup, unasked, when a connection that it kept breaks.
	transmissions int32
}

// history collects what callers saw. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	requests []sentRequest
}

func (h *history) add(s sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, s)
}

// execution is one line of a backend server's log, at a time that can be
// compared with others'.
type execution struct {
	standin.Execution
	service string
	at      time.Time
}

// executions returns what all backend servers ran, in the order of time.
func executions(backends []*backend) []execution {
	var all []execution
	for _, b := range backends {
		ran, _ := b.Executions()
		for _, e := range ran {
			if isProbe(e) {
				continue
			}
			all = append(all, execution{Execution: e, service: b.service, at: b.started.Add(e.Begin)})
		}
	}
	slices.SortStableFunc(all, func(a, b execution) int { return a.at.Compare(b.at) })
	return all
}

// isProbe tells the instances' own requests to ejected backend servers from
// callers'. They run for no workspace, so that no limit counts them; an
// execution for no workspace that isn't one is an excess.
func isProbe(e standin.Execution) bool {
	return strings.HasPrefix(e.Attempt, "probe.") && e.Workspace == "" && e.Method == http.MethodGet
}

// byPath counts the executions of each path.
func executionsByPath(ran []execution) map[string]int {
	n := map[string]int{}
	for _, e := range ran {
		n[e.Path]++
	}
	return n
}

// idempotent tells what a repeat of the request may do.
func idempotent(method string) bool { return method == "GET" }

// ranTwice returns the operations that ran more than once. The repeats of an
// operation share its path, whatever instance they went to.
func repeatedExecutions(ran []execution) []string {
	var faults []string
	times := executionsByPath(ran)
	seen := map[string]bool{}
	for _, e := range ran {
		if idempotent(e.Method) || times[e.Path] < 2 || seen[e.Path] {
			continue
		}
		seen[e.Path] = true
		faults = append(faults, fmt.Sprintf("%s %s ran %d times", e.Method, e.Path, times[e.Path]))
	}
	return faults
}

// falseAnswers returns the answers that contradict what backend servers ran:
// "not run" of something that ran, "served" or "ran before" of something that
// didn't, and answers that aren't the whole answer to their own request.
func incorrectAnswers(requests []sentRequest, ran []execution) []string {
	var faults []string
	times := executionsByPath(ran)
	possible := possiblyExecuted(requests)
	for _, s := range requests {
		switch {
		case s.outcome == "not-run" && !possible[s.path] && times[s.path] > 0:
			faults = append(faults, fmt.Sprintf("%s %s: answered not-run (%s), and ran", s.method, s.path, s.rule))
		case (s.outcome == "served" || s.outcome == "ran-before") && times[s.path] == 0:
			faults = append(faults, fmt.Sprintf("%s %s: answered %s (%s), and never ran", s.method, s.path, s.outcome, s.rule))
		}
		if fault := answerMismatch(s); fault != "" {
			faults = append(faults, fault)
		}
	}
	return faults
}

// mayHaveRun has the paths of which one of the sends may have run. A refusal
// of another send of the same operation is true nevertheless.
func possiblyExecuted(requests []sentRequest) map[string]bool {
	possible := map[string]bool{}
	for _, s := range requests {
		if s.outcome != "not-run" || s.transmissions > 1 {
			possible[s.path] = true
		}
	}
	return possible
}

// wrongAnswer compares a served answer with the one that its request has.
func answerMismatch(s sentRequest) string {
	if s.status != 200 {
		return ""
	}
	want := fmt.Sprintf("%s %s %s workspace=%s", s.service, s.method, s.path, s.workspace)
	got := string(s.answer)
	if !strings.HasPrefix(got, want) {
		return fmt.Sprintf("%s %s: somebody else's answer: %.80q", s.method, s.path, got)
	}
	if s.size > 0 && len(got) != s.size || s.size == 0 && !strings.HasSuffix(got, "\n") {
		return fmt.Sprintf("%s %s: not the whole answer: %d bytes", s.method, s.path, len(got))
	}
	return ""
}

// bucket is a workspace's use of one service.
type bucket struct{ workspace, service string }

// overLimit replays when the requests of each workspace began to run against
// a bucket of its rate and burst. A request counts once, when it first ran.
// Jitter is how much the time from admission to the beginning may vary.
func limitViolations(ran []execution, limits map[bucket]config.Limit, jitter time.Duration) []string {
	var faults []string
	for b, worst := range maxOverdraft(ran, limits) {
		allowed := limits[b].Rate * jitter.Seconds()
		if worst > allowed {
			faults = append(faults, fmt.Sprintf("%s at %s: %.1f requests above rate and burst, %.1f allowed", b.workspace, b.service, worst, allowed))
		}
	}
	slices.Sort(faults)
	return faults
}

// excess returns by how many requests each bucket was overdrawn at worst, in
// any window; it is negative for a bucket that never ran empty.
func maxOverdraft(ran []execution, limits map[bucket]config.Limit) map[bucket]float64 {
	first := firstExecutions(ran)
	worst := map[bucket]float64{}
	tokens := map[bucket]float64{}
	last := map[bucket]time.Time{}
	for _, e := range first {
		b := bucket{e.Workspace, e.service}
		limit, ok := limits[b]
		if !ok {
			worst[b]++
			continue
		}
		if last[b].IsZero() {
			tokens[b] = limit.Burst
			worst[b] = -limit.Burst
		} else {
			tokens[b] = min(limit.Burst, tokens[b]+limit.Rate*e.at.Sub(last[b]).Seconds())
		}
		last[b] = e.at
		tokens[b]--
		worst[b] = max(worst[b], -tokens[b])
	}
	return worst
}

func firstExecutions(ran []execution) []execution {
	seen := map[string]bool{}
	var first []execution
	for _, e := range ran {
		if !seen[e.Path] {
			seen[e.Path] = true
			first = append(first, e)
		}
	}
	return first
}

// afterWithdrawal returns the requests of a key that began to run later than
// the grace after it was withdrawn.
func executionsAfterWithdrawal(requests []sentRequest, ran []execution, key string, withdrawn time.Time, grace time.Duration) []string {
	own := map[string]bool{}
	for _, s := range requests {
		if s.key == key {
			own[s.path] = true
		}
	}
	var faults []string
	for _, e := range ran {
		if late := e.at.Sub(withdrawn); own[e.Path] && late > grace {
			faults = append(faults, fmt.Sprintf("%s ran %s after its key was withdrawn", e.Path, late.Round(time.Millisecond)))
		}
	}
	return faults
}

// revisions are what instances said of their configuration, over time.
type revisions struct {
	mu      sync.Mutex
	highest map[string][2]uint64
	faults  []string
	seen    int
}

// add takes an instance's revision and version of the lists. Neither may ever
// be lower than what it said before.
func (r *revisions) add(instance string, revision, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.highest == nil {
		r.highest = map[string][2]uint64{}
	}
	before := r.highest[instance]
	if revision < before[0] || version < before[1] {
		r.faults = append(r.faults, fmt.Sprintf("%s went back from %v to %d, %d", instance, before, revision, version))
	}
	r.highest[instance] = [2]uint64{max(revision, before[0]), max(version, before[1])}
	r.seen++
}

// tally counts sends by how they ended.
func countByOutcome(requests []sentRequest) string {
	n := map[string]int{}
	for _, s := range requests {
		key := s.service + " " + s.outcome
		switch {
		case s.status == 0:
			key = s.service + " no answer"
		case s.rule != "":
			key += "/" + s.rule
		}
		n[key]++
	}
	var lines []string
	for key, count := range n {
		lines = append(lines, fmt.Sprintf("%5d %s", count, key))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(a[6:], b[6:]) })
	return strings.Join(lines, "\n")
}

// timeline shows in which quarters of a second sends ended otherwise than
// served, by what they said.
func timeline(start time.Time, requests []sentRequest) string {
	const slot = 250 * time.Millisecond
	n := map[string]int{}
	for _, s := range requests {
		if s.outcome == "served" || s.outcome == "ran-before" {
			continue
		}
		at := s.at.Sub(start).Truncate(slot)
		n[fmt.Sprintf("%6.2fs %s %s", at.Seconds(), s.outcome, s.rule)]++
	}
	var lines []string
	for what, count := range n {
		lines = append(lines, fmt.Sprintf("%s: %d", what, count))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// refusedInside counts a workspace's requests with a valid key, and returns
// those refused for the rate. For a workspace that never comes near its rate
// and burst, each of them is wrongful.
func rateRefusals(requests []sentRequest, workspace string) (all int, refused []sentRequest) {
	for _, s := range requests {
		if s.workspace != workspace || s.rule == "key-unknown" {
			continue
		}
		all++
		if s.rule == "over-rate" || s.rule == "peer-unreachable" {
			refused = append(refused, s)
		}
	}
	return all, refused
}
