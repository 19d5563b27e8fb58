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

// ErrNoQuery reports an explanation asked for without a request or a
// workspace.
var ErrNoQuery = errors.New("operator: name a request or a workspace")

// maxBatches bounds how many batches of the object store one explanation
// reads, the newest first.
const maxBatches = 2000

// Explanation is what was found out about requests.
type Explanation struct {
	// Records match the question, newest first.
	Records []decision.Record
	// Asked instances of which Silent gave no answer.
	Asked, Silent int
	// Batches read from the object store, of which Unread couldn't be, and
	// Skipped were beyond the bound.
	Batches, Unread, Skipped int
	// Dropped is how many records are known to have been lost before they
	// were stored. The one asked for may be among them.
	Dropped uint64
	// StoreError tells why the object store couldn't be listed.
	StoreError string
}

// Complete tells whether everything was read that could hold an answer.
func (e Explanation) Complete() bool {
	return e.Silent == 0 && e.Unread == 0 && e.Skipped == 0 && e.StoreError == "" && e.Dropped == 0
}

// Explain looks for decision records in the instances' memory, which has the
// newest, and in the object store, which has those of instances that are
// gone. Either may be missing: what couldn't be read is told. The fleet or
// the object store may be nil.
func (o *Operator) Explain(ctx context.Context, f Fleet, objects storage.Objects, q decision.Query) (Explanation, error) {
	if q.Request == "" && q.Workspace == "" {
		return Explanation{}, ErrNoQuery
	}
	var s search
	s.query = q
	id, known := decision.ParseRequestID(q.Request)
	if f != nil {
		s.askFleet(ctx, f, id.InstancePrefix)
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

// search gathers an explanation from many answers.
type search struct {
	query decision.Query
	mu    sync.Mutex
	found Explanation
	seen  map[string]bool
}

func (s *search) askFleet(ctx context.Context, f Fleet, instancePrefix string) {
	entries, err := f.Entries(ctx)
	if err != nil {
		s.found.Asked, s.found.Silent = 1, 1
		return
	}
	entries = slices.DeleteFunc(entries, func(i storage.Instance) bool {
		return !strings.HasPrefix(i.ID, instancePrefix)
	})
	s.found.Asked = len(entries)
	inParallel(len(entries), func(i int) {
		answer, err := f.Decisions(ctx, entries[i], s.query)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.found.Silent++
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
		s.found.Unread++
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
