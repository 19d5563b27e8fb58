package operator

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/decision"
	"foxtailspoke/storage"
)

// ErrNoQuery reports a query without a request or a workspace.
var ErrNoQuery = errors.New("operator: name a request or a workspace")

// maxBatches limits the batches that one explanation reads from the object
// store, newest first.
const maxBatches = 2000

// Explanation is the result of a query for decision records.
type Explanation struct {
	// Records match the query, newest first.
	Records []decision.Record
	// Queried is the number of instances queried, Unresponsive the number of
	// those that did not answer.
	Queried, Unresponsive int
	// Batches were read from the object store, UnreadableBatches could not be
	// read, and Skipped exceeded maxBatches.
	Batches, UnreadableBatches, Skipped int
	// Dropped is the number of records known to have been lost before they
	// were stored. Matching records may be among them.
	Dropped uint64
	// StoreError is the reason why the object store couldn't be listed.
	StoreError string
}

// Complete reports whether every source that may hold a match was read.
func (e Explanation) Complete() bool {
	return e.Unresponsive == 0 && e.UnreadableBatches == 0 && e.Skipped == 0 && e.StoreError == "" && e.Dropped == 0
}

// Explain searches for decision records in the instances' memory, which has
// the newest, and in the object store, which also has those of instances that
// have ended. Either may be unavailable, which the Explanation reports. The
// fleet or the object store may be nil.
func (o *Operator) Explain(ctx context.Context, f Fleet, objects storage.Objects, q decision.Query) (Explanation, error) {
	if q.Request == "" && q.Workspace == "" {
		return Explanation{}, ErrNoQuery
	}
	var s search
	s.query = q
	id, known := decision.ParseRequestID(q.Request)
	if f != nil {
		s.queryFleet(ctx, f, id.InstancePrefix)
	}
	if objects != nil && (known || !q.Since.IsZero()) {
		s.readStore(ctx, objects, o.prefixes(q, id, known))
	}
	return s.result(), nil
}

// prefixes returns the object name prefixes to read, the newest first.
func (o *Operator) prefixes(q decision.Query, id decision.RequestID, known bool) []string {
	if known {
		return id.Prefixes()
	}
	var prefixes []string
	last := o.settings.Now().UTC().Truncate(time.Hour)
	for hour := last; !hour.Before(q.Since.UTC().Truncate(time.Hour)); hour = hour.Add(-time.Hour) {
		prefixes = append(prefixes, decision.HourPrefix(hour))
	}
	return prefixes
}

// search collects an explanation from many responses.
type search struct {
	query decision.Query
	mu    sync.Mutex
	found Explanation
	seen  map[string]bool
}

func (s *search) queryFleet(ctx context.Context, f Fleet, instancePrefix string) {
	entries, err := f.Entries(ctx)
	if err != nil {
		s.found.Queried, s.found.Unresponsive = 1, 1
		return
	}
	entries = slices.DeleteFunc(entries, func(i storage.Instance) bool {
		return !strings.HasPrefix(i.ID, instancePrefix)
	})
	s.found.Queried = len(entries)
	inParallel(len(entries), func(i int) {
		answer, err := f.Decisions(ctx, entries[i], s.query)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.found.Unresponsive++
			return
		}
		s.add(answer.Records)
	})
}

func (s *search) readStore(ctx context.Context, objects storage.Objects, prefixes []string) {
	var names []string
	for _, prefix := range prefixes {
		found, err := objects.List(ctx, prefix)
		if err != nil {
			s.found.StoreError = err.Error()
			continue
		}
		slices.Reverse(found)
		names = append(names, found...)
	}
	s.found.Skipped = max(0, len(names)-maxBatches)
	names = names[:len(names)-s.found.Skipped]
	inParallel(len(names), func(i int) { s.readBatch(ctx, objects, names[i]) })
}

func (s *search) readBatch(ctx context.Context, objects storage.Objects, name string) {
	data, err := objects.Get(ctx, name)
	var c decision.BatchContents
	if err == nil {
		c, err = decision.DecodeBatch(data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.found.UnreadableBatches++
		return
	}
	s.found.Batches++
	s.found.Dropped += c.Dropped
	s.add(c.Records)
}

func (s *search) add(records []decision.Record) {
	if s.seen == nil {
		s.seen = map[string]bool{}
	}
	for _, r := range records {
		id := r.Instance + "/" + r.Request
		if s.query.Matches(r) && !s.seen[id] {
			s.seen[id] = true
			s.found.Records = append(s.found.Records, r)
		}
	}
}

func (s *search) result() Explanation {
	slices.SortFunc(s.found.Records, func(a, b decision.Record) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Request, b.Request))
	})
	if s.query.Limit > 0 && len(s.found.Records) > s.query.Limit {
		s.found.Records = s.found.Records[:s.query.Limit]
	}
	return s.found
}
