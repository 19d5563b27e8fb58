package retry

import (
	"slices"
	"time"
)

// window is the time over which the limit on retries applies.
const window = windowSeconds * time.Second

// Coverage is the share of the fleet whose attempts an instance counts, itself
// included, from 0 to 1.
type Coverage struct {
	Current float64
	// Lowest and Mean are those over the window of the limit. The time before the
	// instance began to count has a coverage of 0.
	Lowest, Mean float64
}

// LimitedTo returns the coverage while only a share of the fleet reports in time. That may be
// lower than the recorded one, as an instance counts as silent only after a timeout.
func (c Coverage) LimitedTo(share float64) Coverage {
	c.Current = min(c.Current, share)
	return c
}

// FullCoverage means that every attempt in the window has been counted.
func FullCoverage() Coverage { return Coverage{Current: 1, Lowest: 1, Mean: 1} }

// slackShare returns the share of the slack that this instance may use.
//
// Instances that were unreachable for this one, or that ran before it, may have used
// limitShare of the slack. As long as the window includes such a time, only the
// rest may be used, in proportion to the time since.
func (c Coverage) slackShare() float64 {
	lowest := min(c.Lowest, c.Current)
	regained := max(min(c.Mean, c.Current)-lowest, 0)
	return limitShare*lowest + (1-limitShare)*regained
}

// completeShare allows for single instances that stop.
const completeShare = 0.9

// Incomplete reports whether the counts lack attempts of instances that are reachable
// now, so that another instance may have counted more.
func (c Coverage) Incomplete() bool { return c.Lowest < c.Current*completeShare }

// CoverageHistory records the coverage over time. The zero value is that of an
// instance that hasn't counted any attempt.
type CoverageHistory struct {
	// steps holds the changes from the oldest to the newest.
	steps []coverageStep
}

type coverageStep struct {
	at    time.Duration
	share float64
}

// Set records that the coverage is share from now on.
func (h *CoverageHistory) Set(share float64, now time.Duration) {
	n := len(h.steps)
	if n > 0 && h.steps[n-1].share == share {
		return
	}
	if n > 0 && h.steps[n-1].at >= now {
		h.steps = h.steps[:n-1]
	}
	h.steps = append(h.steps, coverageStep{at: now, share: share})
	h.dropBefore(now - window)
}

// dropBefore drops the steps that ended before start.
func (h *CoverageHistory) dropBefore(start time.Duration) {
	ended := 0
	for ended+1 < len(h.steps) && h.steps[ended+1].at <= start {
		ended++
	}
	h.steps = slices.Delete(h.steps, 0, ended)
}

// Coverage returns the coverage at the given time and over the window before it.
func (h *CoverageHistory) Coverage(now time.Duration) Coverage {
	start := now - window
	h.dropBefore(start)
	if len(h.steps) == 0 {
		return Coverage{}
	}
	c := Coverage{Current: h.steps[len(h.steps)-1].share, Lowest: 1}
	if h.steps[0].at > start {
		c.Lowest = 0
	}
	for i, step := range h.steps {
		end := now
		if i+1 < len(h.steps) {
			end = h.steps[i+1].at
		}
		c.Lowest = min(c.Lowest, step.share)
		c.Mean += step.share * float64(end-max(step.at, start)) / float64(window)
	}
	return c
}

// CoveragePeriod is a period of constant coverage. It ends when the next one begins.
type CoveragePeriod struct {
	// Age is the time since the period began.
	Age   time.Duration
	Share float64
}

// periods returns the history with ages instead of times, for another instance.
func (h *CoverageHistory) periods(now time.Duration) []CoveragePeriod {
	var periods []CoveragePeriod
	for _, step := range h.steps {
		periods = append(periods, CoveragePeriod{Age: now - step.at, Share: step.share})
	}
	return periods
}

// historyOf returns the history that another instance reports.
func historyOf(periods []CoveragePeriod, now time.Duration) CoverageHistory {
	var h CoverageHistory
	for _, p := range periods {
		h.steps = append(h.steps, coverageStep{at: now - p.Age, share: p.Share})
	}
	return h
}
