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
	entries  map[string]*entry
	// log has every change; its version is its index plus one.
	log []event
	// shown is the highest version ever shown. It never goes down.
	shown uint64
}

type entry struct {
	instance storage.Instance
	// announced is when the instance last announced itself.
	announced time.Duration
}

type event struct {
	at       time.Duration
	instance storage.Instance
}

// New returns an empty list. An instance that was silent for endAfter is
// shown as ended; 0 leaves silent instances as they are.
func New(endAfter time.Duration) *Registry {
	return &Registry{endAfter: endAfter, entries: map[string]*entry{}}
}

// Announce takes down an instance's state. A state never goes back: an
// announcement that was overtaken by a later state counts as a sign of life
// only.
func (l *Registry) Announce(now time.Duration, i storage.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSilent(now)
	e, ok := l.entries[i.ID]
	if !ok {
		l.entries[i.ID] = &entry{instance: i, announced: now}
		l.log = append(l.log, event{now, i})
		return nil
	}
	if e.instance.State == storage.Ended {
		if i.State == storage.Ended {
			return nil
		}
		return errors.Wrapf(ErrEnded, "%q", i.ID)
	}
	e.announced = now
	if rank(i.State) < rank(e.instance.State) {
		i.State = e.instance.State
	}
	l.change(now, e, i)
	return nil
}

// Changes returns what changed after version since, as the list showed it lag
// ago. While frozen it shows nothing new.
func (l *Registry) Changes(now time.Duration, since uint64, lag time.Duration, frozen bool) storage.InstanceChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSilent(now)
	if !frozen {
		l.shown = max(l.shown, l.visible(now-lag))
	}
	c := storage.InstanceChanges{Version: l.shown, Full: since == 0}
	newest := map[string]int{}
	for n := since; n < l.shown; n++ {
		newest[l.log[n].instance.ID] = int(n)
	}
	order := make([]int, 0, len(newest))
	for _, n := range newest {
		order = append(order, n)
	}
	slices.Sort(order)
	for _, n := range order {
		c.Changed = append(c.Changed, l.log[n].instance)
	}
	return c
}

func (l *Registry) change(now time.Duration, e *entry, i storage.Instance) {
	if e.instance == i {
		return
	}
	e.instance = i
	l.log = append(l.log, event{now, i})
}

// endSilent declares the instances ended that were silent for too long.
func (l *Registry) endSilent(now time.Duration) {
	if l.endAfter <= 0 {
		return
	}
	var silent []string
	for id, e := range l.entries {
		if e.instance.State != storage.Ended && now-e.announced >= l.endAfter {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		e := l.entries[id]
		ended := e.instance
		ended.State = storage.Ended
		l.change(now, e, ended)
	}
}

// visible returns the version that the list had at a time.
func (l *Registry) visible(at time.Duration) uint64 {
	n, _ := slices.BinarySearchFunc(l.log, at, func(e event, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	return uint64(n)
}

func rank(s storage.State) int {
	switch s {
	case storage.Ended:
		return 2
	case storage.Leaving:
		return 1
	default:
		return 0
	}
}
