// Package instances is the platform's list of instances in memory. It lags:
// a change shows only after a delay. It is pure; time is an argument.
package instances

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// ErrEnded reports an announcement by an instance that was declared ended.
// An ended instance never comes back: users of the list may already have
// acted on its end.
var ErrEnded = errors.New("instance has ended")

// Registry is the list of instances. It is safe for concurrent use. Every method
// takes now, a reading of one monotonic clock.
type Registry struct {
	mu       sync.Mutex
	endAfter time.Duration
	records  map[string]*record
	// changeLog has every change; its version is its index plus one.
	changeLog []change
	// publishedVersion is the highest version ever publishedVersion. It never goes down.
	publishedVersion uint64
}

type record struct {
	instance storage.Instance
	// lastAnnounced is when the instance last lastAnnounced itself.
	lastAnnounced time.Duration
}

type change struct {
	at       time.Duration
	instance storage.Instance
}

// New returns an empty list. An instance that was silent for endAfter is
// shown as ended; 0 leaves silent instances as they are.
func New(endAfter time.Duration) *Registry {
	return &Registry{endAfter: endAfter, records: map[string]*record{}}
}

// Announce takes down an instance's state. A state never goes back: an
// announcement that was overtaken by a later state counts as a sign of life
// only.
func (l *Registry) Announce(now time.Duration, i storage.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSilent(now)
	e, ok := l.records[i.ID]
	if !ok {
		l.records[i.ID] = &record{instance: i, lastAnnounced: now}
		l.changeLog = append(l.changeLog, change{now, i})
		return nil
	}
	if e.instance.State == storage.Ended {
		if i.State == storage.Ended {
			return nil
		}
		return errors.Wrapf(ErrEnded, "%q", i.ID)
	}
	e.lastAnnounced = now
	if lifecycleRank(i.State) < lifecycleRank(e.instance.State) {
		i.State = e.instance.State
	}
	l.update(now, e, i)
	return nil
}

// Changes returns what changed after version since, as the list showed it lag
// ago. While frozen it shows nothing new.
func (l *Registry) Changes(now time.Duration, since uint64, lag time.Duration, frozen bool) storage.InstanceChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSilent(now)
	if !frozen {
		l.publishedVersion = max(l.publishedVersion, l.versionAt(now-lag))
	}
	c := storage.InstanceChanges{Version: l.publishedVersion, Full: since == 0}
	latest := map[string]int{}
	for n := since; n < l.publishedVersion; n++ {
		latest[l.changeLog[n].instance.ID] = int(n)
	}
	indexes := make([]int, 0, len(latest))
	for _, n := range latest {
		indexes = append(indexes, n)
	}
	slices.Sort(indexes)
	for _, n := range indexes {
		c.Changed = append(c.Changed, l.changeLog[n].instance)
	}
	return c
}

func (l *Registry) update(now time.Duration, e *record, i storage.Instance) {
	if e.instance == i {
		return
	}
	e.instance = i
	l.changeLog = append(l.changeLog, change{now, i})
}

// endSilent declares the instances ended that were silent for too long.
func (l *Registry) endSilent(now time.Duration) {
	if l.endAfter <= 0 {
		return
	}
	var silent []string
	for id, e := range l.records {
		if e.instance.State != storage.Ended && now-e.lastAnnounced >= l.endAfter {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		e := l.records[id]
		ended := e.instance
		ended.State = storage.Ended
		l.update(now, e, ended)
	}
}

// versionAt returns the version that the list had at a time.
func (l *Registry) versionAt(at time.Duration) uint64 {
	n, _ := slices.BinarySearchFunc(l.changeLog, at, func(e change, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	return uint64(n)
}

func lifecycleRank(s storage.State) int {
	switch s {
	case storage.Ended:
		return 2
	case storage.Leaving:
		return 1
	default:
		return 0
	}
}
