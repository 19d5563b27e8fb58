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

// sentRequest is one request and its result as observed by the caller.
type sentRequest struct {
	workspace string
	key       string
	service   string
	method    string
	// path is unique to an operation; repeats of the operation share it.
	path string
	// size is the requested answer size in bytes; 0 leaves it to the server.
	size      int
	operation string
	body      []byte
	at        time.Time
	took      time.Duration
	// status is 0 if no complete answer was received.
	status  int
	outcome string
	rule    string
	answer  []byte
	failure string
	// transmissions is how often the HTTP client library sent the request. It
	// automatically resends a lookup when a reused connection breaks.
	transmissions int32
}

// history records the requests of all callers. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	requests []sentRequest
}

func (h *history) add(s sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, s)
}

// execution is one entry of a backend server's log, with an absolute time that is
// comparable across servers.
type execution struct {
	standin.Execution
	service string
	at      time.Time
}

// executions returns the executions of all backend servers in time order, without
// probes.
func executions(backends []*backend) []execution {
	var all []execution
	for _, b := range backends {
		ran, _ := b.Executions()
		for _, e := range ran {
			if isProbe(e) {
				continue
			}
			all = append(all, execution{Execution: e, service: b.service, at: b.started.Add(e.StartedAt)})
		}
	}
	slices.SortStableFunc(all, func(a, b execution) int { return a.at.Compare(b.at) })
	return all
}

// isProbe reports whether an execution is an instance's probe of an ejected backend
// server. Probes have no workspace and count against no limit; any other
// execution without a workspace is reported as a limit violation.
func isProbe(e standin.Execution) bool {
	return strings.HasPrefix(e.Attempt, "probe.") && e.Workspace == "" && e.Method == http.MethodGet
}

// executionsByPath counts the executions of each path.
func executionsByPath(ran []execution) map[string]int {
	n := map[string]int{}
	for _, e := range ran {
		n[e.Path]++
	}
	return n
}

// idempotent reports whether a request with this method may be executed repeatedly.
func idempotent(method string) bool { return method == "GET" }

// repeatedExecutions returns the non-idempotent operations that ran more than once.
// Repeats of an operation share its path regardless of the instance they were
// sent to.
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

// incorrectAnswers returns the answers that contradict the executions: not-run for
// a request that ran, served or ran-before for one that didn't, and answers that
// are incomplete or belong to another request.
func incorrectAnswers(requests []sentRequest, ran []execution) []string {
	var faults []string
	times := executionsByPath(ran)
	possible := possiblyExecuted(requests)
	for _, s := range requests {
		switch {
		case s.outcome == "not-run" && !possible[s.path] && times[s.path] > 0:
			faults = append(faults, fmt.Sprintf("%s %s: answered not-run (%s) but was executed", s.method, s.path, s.rule))
		case (s.outcome == "served" || s.outcome == "ran-before") && times[s.path] == 0:
			faults = append(faults, fmt.Sprintf("%s %s: answered %s (%s) but was not executed", s.method, s.path, s.outcome, s.rule))
		}
		if fault := answerMismatch(s); fault != "" {
			faults = append(faults, fault)
		}
	}
	return faults
}

// possiblyExecuted returns the paths for which at least one request may have run.
// Another request of the same operation may still correctly be answered not-run.
func possiblyExecuted(requests []sentRequest) map[string]bool {
	possible := map[string]bool{}
	for _, s := range requests {
		if s.outcome != "not-run" || s.transmissions > 1 {
			possible[s.path] = true
		}
	}
	return possible
}

// answerMismatch describes how a served answer differs from the expected one; it
// is empty if they match.
func answerMismatch(s sentRequest) string {
	if s.status != 200 {
		return ""
	}
	want := fmt.Sprintf("%s %s %s workspace=%s", s.service, s.method, s.path, s.workspace)
	got := string(s.answer)
	if !strings.HasPrefix(got, want) {
		return fmt.Sprintf("%s %s: answer belongs to another request: %.80q", s.method, s.path, got)
	}
	if s.size > 0 && len(got) != s.size || s.size == 0 && !strings.HasSuffix(got, "\n") {
		return fmt.Sprintf("%s %s: incomplete answer: got %d bytes", s.method, s.path, len(got))
	}
	return ""
}

// bucket identifies the token bucket of a workspace at one service.
type bucket struct{ workspace, service string }

// limitViolations replays the start times of each workspace's requests against a
// token bucket with its rate and burst. A request counts once, at its first
// execution. jitter is the allowed variation of the delay between admission and
// start of execution.
func limitViolations(ran []execution, limits map[bucket]config.Limit, jitter time.Duration) []string {
	var faults []string
	for b, worst := range maxOverdraft(ran, limits) {
		allowed := limits[b].Rate * jitter.Seconds()
		if worst > allowed {
			faults = append(faults, fmt.Sprintf("%s at %s: exceeded rate and burst by %.1f requests, tolerance is %.1f", b.workspace, b.service, worst, allowed))
		}
	}
	slices.Sort(faults)
	return faults
}

// maxOverdraft returns the largest number of requests by which each bucket was
// overdrawn in any window. It is negative for a bucket that never became empty.
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

// executionsAfterWithdrawal returns the requests of a key that started to run more
// than grace after the key was withdrawn.
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

// revisions checks the configuration revisions that instances report over time.
type revisions struct {
	mu      sync.Mutex
	highest map[string][2]uint64
	faults  []string
	seen    int
}

// add records an instance's revision and lists version. A value lower than one the
// instance reported before is a fault.
func (r *revisions) add(instance string, revision, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.highest == nil {
		r.highest = map[string][2]uint64{}
	}
	before := r.highest[instance]
	if revision < before[0] || version < before[1] {
		r.faults = append(r.faults, fmt.Sprintf("%s: revision and lists version decreased from %v to [%d %d]", instance, before, revision, version))
	}
	r.highest[instance] = [2]uint64{max(revision, before[0]), max(version, before[1])}
	r.seen++
}

// countByOutcome formats the number of requests per service and outcome.
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

// timeline formats the number of requests not served per 250 ms slot, by outcome
// and rule.
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

// rateRefusals counts a workspace's requests with a valid key and returns those
// refused for the rate. For a workspace that stays well below its rate and burst,
// each refusal is incorrect.
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
