package operator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
	"foxtailspoke/storage"
)

// Fleet queries entry instances through their operator API. Package operator/fleet
// implements it.
type Fleet interface {
	// Entries returns the entry instances that the platform lists as live
	// or leaving.
	Entries(ctx context.Context) ([]storage.Instance, error)
	Status(ctx context.Context, entry storage.Instance) (*oas.Status, error)
	InForce(ctx context.Context, entry storage.Instance, r storage.Revision) (*oas.InForce, error)
	Decisions(ctx context.Context, entry storage.Instance, q decision.Query) (Decisions, error)
}

// Decisions is one instance's response.
type Decisions struct {
	Records []decision.Record
	// Dropped is the number of records evicted from memory before they were
	// stored.
	Dropped uint64
}

// ErrNoEntry reports that no entry instance answered.
var ErrNoEntry = errors.New("operator: no entry instance answered")

// InForce describes how far a change has propagated.
type InForce struct {
	// InForce means that no instance applies an older revision any more.
	InForce  bool             `json:"inForce"`
	Revision storage.Revision `json:"revision"`
	// Entry is the instance that answered.
	Entry string `json:"entry,omitempty"`
	// KnownBy and Missing are witnesses.
	KnownBy []string `json:"knownBy,omitempty"`
	Missing []string `json:"missing,omitempty"`
}

// inForcePollInterval is the pause between two queries.
const inForcePollInterval = 250 * time.Millisecond

// WaitInForce polls entry instances until one reports that the revision is in
// force everywhere, or ctx ends. In the latter case it returns the last
// response, or ErrNoEntry if there was none.
func (o *Operator) WaitInForce(ctx context.Context, f Fleet, r storage.Revision) (InForce, error) {
	last := InForce{Revision: r}
	answered := false
	for {
		entries, err := f.Entries(ctx)
		if err == nil {
			answer, ok := queryInForce(ctx, f, entries, r)
			if ok {
				last, answered = answer, true
			}
		}
		if last.InForce {
			return last, nil
		}
		if o.settings.Pause(ctx, inForcePollInterval) != nil {
			break
		}
	}
	if !answered {
		return last, ErrNoEntry
	}
	return last, nil
}

// queryInForce queries one instance after the other until one answers. Any
// instance can answer, because it reports the state of the witnesses.
func queryInForce(ctx context.Context, f Fleet, entries []storage.Instance, r storage.Revision) (InForce, bool) {
	for _, e := range liveFirst(entries) {
		a, err := f.InForce(ctx, e, r)
		if err != nil {
			continue
		}
		return InForce{InForce: a.InForce, Revision: r, Entry: e.ID, KnownBy: a.KnownBy, Missing: a.Missing}, true
	}
	return InForce{}, false
}

func liveFirst(entries []storage.Instance) []storage.Instance {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b storage.Instance) int {
		return leavingRank(a) - leavingRank(b)
	})
	return entries
}

func leavingRank(i storage.Instance) int {
	if i.State == storage.Live {
		return 0
	}
	return 1
}
