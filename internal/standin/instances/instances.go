// Package instances is an in-memory instance registry that is eventually
// consistent, like the platform's: changes become visible after a lag. It does
// not read the clock; the time is an argument.
package instances

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// ErrEnded reports an announcement of an instance that is registered as ended.
// The state is final because readers of the registry may already have acted on
// it.
var ErrEnded = errors.New("instance has ended")

// Registry is an in-memory instance registry. It is safe for concurrent use. The
// argument now of its methods is the reading of a single monotonic clock.
type Registry struct {
	mu       sync.Mutex
	endAfter time.Duration
	records  map[string]*record
	// changeLog holds all changes; the version of each is its index plus one.
	changeLog []change
	// publishedVersion is the latest version that Changes has returned. It never
	// decreases, even if the lag grows.
	publishedVersion uint64
}

type record struct {
	instance storage.Instance
	// lastAnnounced is the time of the instance's latest announcement.
	lastAnnounced time.Duration
}

type change struct {
	at       time.Duration
	instance storage.Instance
}

// New returns an empty registry. An instance that does not announce itself for
// endAfter is registered as ended; 0 disables this.
func New(endAfter time.Duration) *Registry {
	return &Registry{endAfter: endAfter, records: map[string]*record{}}
}

// Announce registers an instance or updates it. The state never returns to an
// earlier one: a delayed announcement with an earlier state updates everything
// but the state. An instance that has ended can only be announced as ended
// again; otherwise Announce fails with ErrEnded.
func (r *Registry) Announce(now time.Duration, i storage.Instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endSilent(now)
	rec, ok := r.records[i.ID]
	if !ok {
		r.records[i.ID] = &record{instance: i, lastAnnounced: now}
		r.changeLog = append(r.changeLog, change{now, i})
		return nil
	}
	if rec.instance.State == storage.Ended {
		if i.State == storage.Ended {
			return nil
		}
		return errors.Wrapf(ErrEnded, "%q", i.ID)
	}
	rec.lastAnnounced = now
	if lifecycleRank(i.State) < lifecycleRank(rec.instance.State) {
		i.State = rec.instance.State
	}
	r.update(now, rec, i)
	return nil
}

// Changes returns the instances that changed after version since, as of now
// minus lag. If frozen is set, it returns no changes later than those that
// previous calls returned.
func (r *Registry) Changes(now time.Duration, since uint64, lag time.Duration, frozen bool) storage.InstanceChanges {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endSilent(now)
	if !frozen {
		r.publishedVersion = max(r.publishedVersion, r.versionAt(now-lag))
	}
	c := storage.InstanceChanges{Version: r.publishedVersion, Full: since == 0}
	latest := map[string]int{}
	for n := since; n < r.publishedVersion; n++ {
		latest[r.changeLog[n].instance.ID] = int(n)
	}
	indexes := make([]int, 0, len(latest))
	for _, n := range latest {
		indexes = append(indexes, n)
	}
	slices.Sort(indexes)
	for _, n := range indexes {
		c.Changed = append(c.Changed, r.changeLog[n].instance)
	}
	return c
}

func (r *Registry) update(now time.Duration, rec *record, i storage.Instance) {
	if rec.instance == i {
		return
	}
	rec.instance = i
	r.changeLog = append(r.changeLog, change{now, i})
}

// endSilent sets the state of the instances to ended that have not announced
// themselves for endAfter.
func (r *Registry) endSilent(now time.Duration) {
	if r.endAfter <= 0 {
		return
	}
	var silent []string
	for id, rec := range r.records {
		if rec.instance.State != storage.Ended && now-rec.lastAnnounced >= r.endAfter {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		rec := r.records[id]
		ended := rec.instance
		ended.State = storage.Ended
		r.update(now, rec, ended)
	}
}

// versionAt returns the version of the registry at a given time.
func (r *Registry) versionAt(at time.Duration) uint64 {
	n, _ := slices.BinarySearchFunc(r.changeLog, at, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	return uint64(n)
}

// lifecycleRank returns a number that increases from each state to the next.
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
