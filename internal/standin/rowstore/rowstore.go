// Package rowstore is a stand-in of the platform's store: rows in tables with
// one counter of versions, transactions, changes since a version, and the
// faults of the real one, each switched by a call. It keeps everything in
// memory.
package rowstore

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fault is what happens to a call instead of an answer.
type Fault int

// The faults.
const (
	// NoFault answers as usual.
	NoFault Fault = iota
	// Unavailable answers 503 without doing anything.
	Unavailable
	// TooManyRequests answers 429 without doing anything.
	TooManyRequests
	// ConnectionReset closes the connection without doing anything.
	ConnectionReset
	// NoResponse never answers.
	NoResponse
	// ResponseLost does what was asked and closes the connection without an answer.
	ResponseLost
)

// Row is one row.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[id]Row
	history []Row
	oldest  uint64
	ver     uint64
	era     uint64
	// restored is the version of the copy that the store last came back from.
	restored uint64
	start    time.Time
	delay    time.Duration
	fault    func(ip string) Fault
	calls    int
	readOnly map[string]bool
}

type id struct{ table, part, key string }

// New returns an empty store. Callers may not write the tables named.
func New(readOnly ...string) *Store {
	s := &Store{rows: make(map[id]Row), start: time.Now(), readOnly: make(map[string]bool)}
	for _, t := range readOnly {
		s.readOnly[t] = true
	}
	return s
}

// SetFault decides what happens to the calls of each address from now on.
func (s *Store) SetFault(f func(ip string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetDelay makes each answer take so long.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// TruncateHistory drops the history, so that changes since before now can't be read.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.ver
}

// Snapshot is the state of a store at one moment.
type Snapshot struct {
	rows    map[id]Row
	history []Row
	ver     uint64
}

// Snapshot returns the store's present state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rows: maps.Clone(s.rows), history: slices.Clone(s.history), ver: s.ver}
}

// Restore returns to a copy: what was written since is lost, versions are given
// out again, and a new era begins. It returns what the platform's own writers had
// written since the copy, for Rewrite.
func (s *Store) Restore(c Snapshot) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []Row
	for k, r := range s.rows {
		if s.readOnly[k.table] && c.rows[k].Ver != r.Ver {
			lost = append(lost, r)
		}
	}
	for k, r := range c.rows {
		if _, kept := s.rows[k]; s.readOnly[k.table] && !kept {
			lost = append(lost, Row{Table: k.table, Part: k.part, Key: k.key, Ver: r.Ver, Tombstone: true})
		}
	}
	s.rows, s.history, s.ver = maps.Clone(c.rows), slices.Clone(c.history), c.ver
	s.restored = c.ver
	s.era++
	return lost
}

// Reapply writes rows again that were lost, but for those that were written anew
// since the store's return.
func (s *Store) Reapply(lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost {
		if s.rows[id{r.Table, r.Part, r.Key}].Ver > s.restored {
			continue
		}
		s.ver++
		r.Ver = s.ver
		s.set(r)
	}
}

// RequestCount is how many calls were made.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the platform's own writers do.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(Row{Table: table, Key: key, Value: value, Ver: s.ver})
}

// Remove removes a row as the platform's own writers do.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(Row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
}

// Rows returns a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table(table, "")
}

func (s *Store) set(r Row) {
	k := id{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) table(table, part string) []Row {
	rows := []Row{}
	for k, r := range s.rows {
		if k.table == table && k.part == part {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Read first: net/http tells that a caller has left only after that.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, delay := s.arrival(r)
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case ConnectionReset:
		panic(http.ErrAbortHandler)
	case NoResponse:
		<-r.Context().Done()
		return
	case NoFault, ResponseLost:
	}
	status, answer := s.answer(r, body)
	if fault == ResponseLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(answer.era, 10))
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) arrival(r *http.Request) (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fault == nil {
		return NoFault, s.delay
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		ip = r.RemoteAddr
	}
	return s.fault(ip), s.delay
}

type answerDocument struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Ver     uint64  `json:"ver"`
	NowS    float64 `json:"now_s"`
	era     uint64
}

func (s *Store) answer(r *http.Request, body []byte) (int, answerDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		return http.StatusOK, s.page(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("limit"))
	case "/api/rows-feed":
		return s.changes(q.Get("table"), q.Get("after"))
	case "/api/rows-tx":
		return s.transact(body)
	default:
		return http.StatusNotFound, s.now()
	}
}

func (s *Store) now() answerDocument {
	return answerDocument{Rows: []Row{}, Ver: s.ver, NowS: time.Since(s.start).Seconds(), era: s.era}
}

func (s *Store) page(table, part, from, limit string) answerDocument {
	a := s.now()
	most, err := strconv.Atoi(limit)
	if err != nil || most <= 0 {
		most = 500
	}
	for _, r := range s.table(table, part) {
		if r.Key < from {
			continue
		}
		if len(a.Rows) == most {
			a.HasMore = true
			break
		}
		a.Rows = append(a.Rows, r)
	}
	return a
}

func (s *Store) changes(table, after string) (int, answerDocument) {
	a := s.now()
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return http.StatusBadRequest, a
	}
	if since < s.oldest || since > s.ver {
		return http.StatusGone, a
	}
	for _, r := range s.history {
		if r.Table == table && r.Ver > since {
			a.Rows = append(a.Rows, r)
		}
	}
	return http.StatusOK, a
}

type transaction struct {
	Expected []Row `json:"expected"`
	Put      []Row `json:"put"`
	Remove   []Row `json:"remove"`
}

func (s *Store) transact(body []byte) (int, answerDocument) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, s.now()
	}
	for _, row := range append(append([]Row{}, t.Put...), t.Remove...) {
		if s.readOnly[row.Table] {
			return http.StatusForbidden, s.now()
		}
	}
	for _, e := range t.Expected {
		if s.rows[id{e.Table, e.Part, e.Key}].Ver != e.Ver {
			return http.StatusPreconditionFailed, s.now()
		}
	}
	s.ver++
	for _, row := range t.Put {
		row.Ver = s.ver
		s.set(row)
	}
	for _, row := range t.Remove {
		row.Ver, row.Tombstone = s.ver, true
		s.set(row)
	}
	return http.StatusOK, s.now()
}
