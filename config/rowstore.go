package config

import (
	"slices"
	"sort"
	"strings"

	"foxtailspoke/storage"
)

const (
	// maxTombstones bounds the deleted rows that are remembered. Beyond it
	// the older half is forgotten.
	maxTombstones = 4096
	// minSuperseded is how many superseded records are always tolerated.
	minSuperseded = 64
)

// record is one row. It doesn't change once it is in the store.
type record struct {
	// data is the packed row key followed by the row's value.
	data string
	// refOrAttempt is what the row's kind needs kept beside it: the decoded plan of
	// a workspace, the decoded workspace of a key, else the attempt.
	refOrAttempt string
	revision     storage.Revision
	keyLen       uint32
	deleted      bool
	// hasRef tells that note holds a decoded reference.
	hasRef bool
	// superseded records are only in the log, until it is compacted.
	superseded bool
	// inSnapshot marks the records that the whole table has, while it is taken.
	inSnapshot bool
}

func (r *record) key() string   { return r.data[:r.keyLen] }
func (r *record) value() string { return r.data[r.keyLen:] }

func (r *record) row() storage.Row {
	row := storage.Row{Key: unpackKey(r.key()), Revision: r.revision, Deleted: r.deleted}
	if !r.hasRef {
		row.Attempt = r.refOrAttempt
	}
	if !r.deleted {
		row.Value = []byte(r.value())
	}
	return row
}

// rowStore has the rows by key and by revision.
type rowStore struct {
	byKey map[string]*record
	// log has the records by ascending revision, so that what changed after
	// a revision is found without looking at every row.
	log        []*record
	superseded int
	tombstones int
	// historyStart is the revision from which on the store remembers every
	// change, deletions included. What was deleted before left no trace.
	historyStart storage.Revision
}

func newRowStore() *rowStore {
	return &rowStore{byKey: map[string]*record{}}
}

// get returns a row's record by its packed key; nil if it isn't known.
func (s *rowStore) get(packed string) *record { return s.byKey[packed] }

// present returns a record that isn't a tombstone, or nil.
func (s *rowStore) present(packed string) *record {
	if rec := s.byKey[packed]; rec != nil && !rec.deleted {
		return rec
	}
	return nil
}

// put replaces a row's record.
func (s *rowStore) put(rec *record) {
	if old := s.byKey[rec.key()]; old != nil {
		old.superseded = true
		s.superseded++
		if old.deleted {
			s.tombstones--
		}
		// The map would keep the old record's key, and with it its data.
		delete(s.byKey, old.key())
	}
	s.byKey[rec.key()] = rec
	if rec.deleted {
		s.tombstones++
	}
	s.insert(rec)
	if s.superseded > len(s.byKey)/4+minSuperseded {
		s.compact()
	}
}

// insert keeps the log ordered. Changes come by ascending revision, so the
// record nearly always goes to the end.
func (s *rowStore) insert(rec *record) {
	at := len(s.log)
	if at > 0 && s.log[at-1].revision > rec.revision {
		at = s.indexAfter(rec.revision)
	}
	s.log = slices.Insert(s.log, at, rec)
}

// indexAfter returns the position of the first record above a revision.
func (s *rowStore) indexAfter(r storage.Revision) int {
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > r })
}

func (s *rowStore) compact() {
	s.log = slices.Clip(slices.DeleteFunc(s.log, func(rec *record) bool { return rec.superseded }))
	s.superseded = 0
}

// since returns the rows that changed after a revision, by ascending
// revision. Without tombstones, it returns the whole table.
func (s *rowStore) since(r storage.Revision, tombstones bool) []storage.Row {
	var rows []storage.Row
	for _, rec := range s.log[s.indexAfter(r):] {
		if rec.superseded || (rec.deleted && !tombstones) {
			continue
		}
		rows = append(rows, rec.row())
	}
	return rows
}

// takeAbsentFromSnapshot returns the present records that aren't marked, and takes all
// marks away.
func (s *rowStore) takeAbsentFromSnapshot() []*record {
	var unmarked []*record
	for _, rec := range s.log {
		if !rec.superseded && !rec.deleted && !rec.inSnapshot {
			unmarked = append(unmarked, rec)
		}
		rec.inSnapshot = false
	}
	return unmarked
}

// pruneTombstones forgets all but the newest tombstones. Whoever asks for changes since
// before a forgotten one gets the whole table instead, so that a row which
// was deleted in between can't live on with it.
func (s *rowStore) pruneTombstones(keep int) {
	for _, rec := range s.log {
		if s.tombstones <= keep {
			break
		}
		if rec.superseded || !rec.deleted {
			continue
		}
		delete(s.byKey, rec.key())
		rec.superseded = true
		s.superseded++
		s.tombstones--
		s.historyStart = max(s.historyStart, rec.revision)
	}
	s.compact()
}

// keys returns the keys of the present rows that start with prefix, sorted.
func (s *rowStore) keys(prefix string) []string {
	var keys []string
	for packed, rec := range s.byKey {
		if rec.deleted {
			continue
		}
		if key := unpackKey(packed); strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
