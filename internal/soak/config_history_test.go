package soak_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// configFault is a kind of fault of an instance.
type configFault int

const (
	faultRestart configFault = iota
	faultPause
	faultStore
	configFaultCount = iota
)

// configHistory records the versions of the configuration, the probes and the version that
// handled each, and the faults.
type configHistory struct {
	mu       sync.Mutex
	begunAt  time.Time
	versions []configVersion
	probes   map[string]probe
	faults   map[int][]instanceFault
	stale    []staleProbe
	// newestSeen is the newest version that each instance has used in its current run.
	newestSeen  map[int]seenVersion
	regressions []string
	// misrouted has the probes that went to a service other than that of their version.
	misrouted  []string
	statuses   map[int]int
	failures   int
	injections map[string]int
}

type configVersion struct {
	// begunAt is when the change was sent to the store, confirmedAt when it was confirmed.
	begunAt, confirmedAt time.Time
}

type probe struct {
	instance int
	sentAt   time.Time
}

type instanceFault struct {
	kind configFault
	at   time.Time
}

// staleProbe is a probe that was handled by a version replaced before it was sent.
type staleProbe struct {
	probe
	version   int
	handledAt time.Time
	// lag is the time from the confirmation of the next version to the sending of the probe.
	lag     time.Duration
	missing bool
}

type seenVersion struct {
	version int
	at      time.Time
}

func newConfigHistory() *configHistory {
	return &configHistory{
		begunAt: time.Now(), probes: make(map[string]probe), faults: make(map[int][]instanceFault),
		newestSeen: make(map[int]seenVersion), statuses: make(map[int]int), injections: make(map[string]int),
	}
}

// begin records that the next version is being written and returns its index.
func (h *configHistory) begin() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, configVersion{begunAt: time.Now()})
	return len(h.versions) - 1
}

func (h *configHistory) confirm(index int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[index].confirmedAt = at
}

// latest returns the index of the newest version that was confirmed.
func (h *configHistory) latest() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.versions) - 1
	if last > 0 && h.versions[last].confirmedAt.IsZero() {
		last--
	}
	return last
}

func (h *configHistory) sent(id string, instance int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes[id] = probe{instance, at}
}

// sentAt returns when a probe was sent.
func (h *configHistory) sentAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.probes[id].sentAt
}

func (h *configHistory) answered(status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statuses[status]++
}

func (h *configHistory) failed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
}

func (h *configHistory) injected(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.injections[name]++
}

func (h *configHistory) fault(instance int, kind configFault, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[instance] = append(h.faults[instance], instanceFault{kind, at})
	if kind == faultRestart {
		delete(h.newestSeen, instance)
	}
}

// handled records that a backend server of a service runs a probe that a version handled.
func (h *configHistory) handled(id string, version, service int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.probes[id]
	if !ok {
		return
	}
	if service != version%probedServices {
		h.misrouted = append(h.misrouted, fmt.Sprintf("instance %d sent a probe that version %d handled to service %d", p.instance, version, service))
	}
	h.checkRegression(p, version, at)
	h.addStale(p, version, at, false)
}

// routeMissing records that a probe of a route that the given version adds was answered 404.
func (h *configHistory) routeMissing(id string, index int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addStale(h.probes[id], index-1, at, true)
}

func (h *configHistory) addStale(p probe, version int, at time.Time, missing bool) {
	if version+1 >= len(h.versions) {
		return
	}
	confirmed := h.versions[version+1].confirmedAt
	if confirmed.IsZero() || !p.sentAt.After(confirmed) {
		return
	}
	h.stale = append(h.stale, staleProbe{p, version, at, p.sentAt.Sub(confirmed), missing})
}

func (h *configHistory) checkRegression(p probe, version int, at time.Time) {
	seen, ok := h.newestSeen[p.instance]
	if ok && version < seen.version && p.sentAt.After(seen.at.Add(regressionSlack)) {
		h.regressions = append(h.regressions, fmt.Sprintf("instance %d used version %d for a probe sent %v after version %d was seen",
			p.instance, version, p.sentAt.Sub(seen.at), seen.version))
	}
	if !ok || version > seen.version {
		h.newestSeen[p.instance] = seenVersion{version, at}
	}
}

// recentFaults returns the kinds of faults that an instance had from contactPeriod before a
// probe was sent until it was handled.
func (h *configHistory) recentFaults(s staleProbe) (kinds [configFaultCount]bool) {
	for _, f := range h.faults[s.instance] {
		if f.at.After(s.sentAt.Add(-contactPeriod)) && f.at.Before(s.handledAt) {
			kinds[f.kind] = true
		}
	}
	return kinds
}

// report returns the violations.
func (h *configHistory) report() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := slices.Concat(h.regressions, h.misrouted)
	for _, s := range h.stale {
		kinds := h.recentFaults(s)
		if s.lag <= configApplyBound || kinds[faultRestart] || kinds[faultStore] {
			continue
		}
		what := "used"
		if s.missing {
			what = "refused a route by"
		}
		violations = append(violations, fmt.Sprintf(
			"instance %d %s version %d at %.3f s for a probe sent %.3f s after the next one was confirmed; paused before: %t",
			s.instance, what, s.version, s.handledAt.Sub(h.begunAt).Seconds(), s.lag.Seconds(), kinds[faultPause]))
	}
	return violations
}

// summary describes the probes and the worst lag by the faults of the instance.
func (h *configHistory) summary() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	worst := make(map[string]time.Duration)
	over := make(map[string]int)
	for _, s := range h.stale {
		kinds := h.recentFaults(s)
		var names []string
		for i, name := range []string{"restart", "pause", "store"} {
			if kinds[i] {
				names = append(names, name)
			}
		}
		key := "none"
		if len(names) > 0 {
			key = strings.Join(names, "+")
		}
		worst[key] = max(worst[key], s.lag)
		if s.lag > configApplyBound {
			over[key]++
		}
	}
	var lags []string
	for _, key := range slices.Sorted(maps.Keys(worst)) {
		lags = append(lags, fmt.Sprintf("%s %.2f s (%d probes over the bound)", key, worst[key].Seconds(), over[key]))
	}
	return []string{
		fmt.Sprintf("%d versions, %d probes, %d served, %d refused, %d failed; injected: %v", len(h.versions), len(h.probes),
			h.statuses[http.StatusOK], h.statuses[http.StatusServiceUnavailable], h.failures, h.injections),
		"worst lag by recent fault of the instance: " + strings.Join(lags, ", "),
	}
}
