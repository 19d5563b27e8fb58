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

// Fleet asks entry instances over their operator API. Package operator/fleet
// implements it.
type Fleet interface {
	// Entries returns the entry instances that the platform lists as live
	// or leaving.
	Entries(ctx context.Context) ([]storage.Instance, error)
	Status(ctx context.Context, entry storage.Instance) (*oas.Status, error)
	InForce(ctx context.Context, entry storage.Instance, r storage.Revision) (*oas.InForce, error)
	Decisions(ctx context.Context, entry storage.Instance, q decision.Query) (Decisions, error)
}

// Decisions are one instance's answer.
type Decisions struct {
	Records []decision.Record
	// Dropped is how many records fell out of its memory unstored.
	Dropped uint64
}

// ErrNoEntry reports that no entry instance answered.
var ErrNoEntry = errors.New("operator: no entry instance answered")

// InForce is what is known of a change's spread.
type InForce struct {
	// InForce means that nobody acts on an older revision any more.
	InForce  bool             `json:"inForce"`
	Revision storage.Revision `json:"revision"`
	// Entry is the instance that told.
	Entry string `json:"entry,omitempty"`
	// KnownBy and Missing are witnesses.
	KnownBy []string `json:"knownBy,omitempty"`
	Missing []string `json:"missing,omitempty"`
}

// inForcePoll is the pause between two questions.
const inForcePoll = 250 * time.Millisecond

// WaitInForce asks entry instances until one says that the revision is in
// force everywhere, or ctx ends. Then it returns the last answer that it got
// and ErrNoEntry if it got none.
func (o *Operator) WaitInForce(ctx context.Context, f Fleet, r storage.Revision) (InForce, error) {
	last := InForce{Revision: r}
	answered := false
	for {
		entries, err := f.Entries(ctx)
		if err == nil {
			answer, ok := askInForce(ctx, f, entries, r)
			if ok {
				last, answered = answer, true
			}
		}
		if last.InForce {
			return last, nil
		}
		if o.settings.Pause(ctx, inForcePoll) != nil {
			break
		}
	}
	if !answered {
		return last, ErrNoEntry
	}
	return last, nil
}

// askInForce asks one instance after the other until one answers. Any of
// them can tell: it counts the witnesses, not itself.
func askInForce(ctx context.Context, f Fleet, entries []storage.Instance, r storage.Revision) (InForce, bool) {
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
