// Package rowstore is an in-memory test double of the platform's row store. It
// serves paged reads, transactions and the changes after a given version over
// HTTP. All tables share one version counter. Tests inject the faults of the
// real store per client address.
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

// Fault is the way in which a request fails.
type Fault int

const (
	// NoFault processes the request normally.
	NoFault Fault = iota
	// Unavailable responds with status 503 without processing the request.
	Unavailable
	// TooManyRequests responds with status 429 without processing the request.
	TooManyRequests
	// ConnectionReset closes the connection without processing the request.
	ConnectionReset
	// NoResponse neither processes the request nor responds, and keeps the
	// connection open until the client closes it.
	NoResponse
	// ResponseLost processes the request and closes the connection without a
	// response.
	ResponseLost
)

// Row is one row of a table.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is an in-memory row store that implements http.Handler. It is safe for
// concurrent use.
type Store struct {
	mu   sync.Mutex
	rows map[rowID]Row
	// history holds all changes after version historyStart.
	history      []Row
	historyStart uint64
	ver          uint64
	// era is incremented by every Restore.
	era uint64
	// restoredVer is the version of the snapshot that was restored last.
	restoredVer uint64
	startTime   time.Time
	delay       time.Duration
	// responseDelay is the time between the processing of a request and its response.
	responseDelay time.Duration
	faultFor      func(ip string) Fault
	requests      int
	// readOnly holds the tables that clients cannot write.
	readOnly map[string]bool
}

type rowID struct{ table, part, key string }

// New returns an empty store. Clients cannot write the readOnly tables; only
// Put, Remove and Reapply change them.
func New(readOnly ...string) *Store {
	s := &Store{rows: make(map[rowID]Row), startTime: time.Now(), readOnly: make(map[string]bool)}
	for _, t := range readOnly {
		s.readOnly[t] = true
	}
	return s
}

// SetFault sets the function that selects the fault of each subsequent request
// by the client's IP address; nil disables faults. f is called with the store
// locked and must not call the store's methods.
func (s *Store) SetFault(f func(ip string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// SetDelay sets the delay before each request is processed.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetResponseDelay sets the delay between the processing of each request and its
// response, which is stale by that time.
func (s *Store) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = d
}

// TruncateHistory discards all recorded changes. Reading changes after a
// version older than the current one then fails with status 410.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.historyStart = s.ver
}

// Snapshot is the state of a store at one point in time.
type Snapshot struct {
	rows    map[rowID]Row
	history []Row
	ver     uint64
}

// Snapshot returns a copy of the store's current state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rows: maps.Clone(s.rows), history: slices.Clone(s.history), ver: s.ver}
}

// Restore resets the store to a snapshot: later writes are lost, their versions
// are assigned again, and a new era begins. It returns the lost changes of
// read-only tables, which the platform itself had written, for Reapply.
func (s *Store) Restore(snapshot Snapshot) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []Row
	for k, r := range s.rows {
		if s.readOnly[k.table] && snapshot.rows[k].Ver != r.Ver {
			lost = append(lost, r)
		}
	}
	for k, r := range snapshot.rows {
		if _, kept := s.rows[k]; s.readOnly[k.table] && !kept {
			lost = append(lost, Row{Table: k.table, Part: k.part, Key: k.key, Ver: r.Ver, Tombstone: true})
		}
	}
	s.rows, s.history, s.ver = maps.Clone(snapshot.rows), slices.Clone(snapshot.history), snapshot.ver
	s.restoredVer = snapshot.ver
	s.era++
	return lost
}

// Reapply writes lost rows again, under new versions. It skips rows that were
// written since the last Restore.
func (s *Store) Reapply(lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost {
		if s.rows[rowID{r.Table, r.Part, r.Key}].Ver > s.restoredVer {
			continue
		}
		s.ver++
		r.Ver = s.ver
		s.apply(r)
	}
}

// RequestCount returns the number of requests received, including failed ones.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Put writes a row as the platform itself does: unconditionally, and also in
// read-only tables.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(Row{Table: table, Key: key, Value: value, Ver: s.ver})
}

// Remove deletes a row as the platform itself does: unconditionally, and also
// in read-only tables.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(Row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
}

// Rows returns the rows of a table that belong to no part, in ascending order
// of their keys.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableRows(table, "")
}

func (s *Store) apply(r Row) {
	k := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) tableRows(table, part string) []Row {
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
	// net/http detects that the client has disconnected only after the body
	// has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, delay := s.beginRequest(r)
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
	status, resp, delay := s.handle(r, body)
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	if fault == ResponseLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(resp.era, 10))
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(resp)
}

// beginRequest counts a request and returns its fault and delay.
func (s *Store) beginRequest(r *http.Request) (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.faultFor == nil {
		return NoFault, s.delay
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		ip = r.RemoteAddr
	}
	return s.faultFor(ip), s.delay
}

type response struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Ver     uint64  `json:"ver"`
	NowS    float64 `json:"now_s"`
	era     uint64
}

// handle processes a request and returns the response and the delay before it.
func (s *Store) handle(r *http.Request, body []byte) (status int, resp response, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, resp = s.route(r, body)
	return status, resp, s.responseDelay
}

func (s *Store) route(r *http.Request, body []byte) (int, response) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		return http.StatusOK, s.readPage(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("limit"))
	case "/api/rows-feed":
		return s.readChanges(q.Get("table"), q.Get("after"))
	case "/api/rows-tx":
		return s.transact(body)
	default:
		return http.StatusNotFound, s.emptyResponse()
	}
}

// emptyResponse returns a response without rows at the current version.
func (s *Store) emptyResponse() response {
	return response{Rows: []Row{}, Ver: s.ver, NowS: time.Since(s.startTime).Seconds(), era: s.era}
}

func (s *Store) readPage(table, part, from, limit string) response {
	resp := s.emptyResponse()
	maxRows, err := strconv.Atoi(limit)
	if err != nil || maxRows <= 0 {
		maxRows = 500
	}
	for _, r := range s.tableRows(table, part) {
		if r.Key < from {
			continue
		}
		if len(resp.Rows) == maxRows {
			resp.HasMore = true
			break
		}
		resp.Rows = append(resp.Rows, r)
	}
	return resp
}

// readChanges returns a table's changes after a version. It fails with status
// 410 if the history does not reach back that far or the version does not exist
// yet, as after a restore.
func (s *Store) readChanges(table, after string) (int, response) {
	resp := s.emptyResponse()
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return http.StatusBadRequest, resp
	}
	if since < s.historyStart || since > s.ver {
		return http.StatusGone, resp
	}
	for _, r := range s.history {
		if r.Table == table && r.Ver > since {
			resp.Rows = append(resp.Rows, r)
		}
	}
	return http.StatusOK, resp
}

type transaction struct {
	Expected []Row `json:"expected"`
	Put      []Row `json:"put"`
	Remove   []Row `json:"remove"`
}

func (s *Store) transact(body []byte) (int, response) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, s.emptyResponse()
	}
	for _, row := range append(append([]Row{}, t.Put...), t.Remove...) {
		if s.readOnly[row.Table] {
			return http.StatusForbidden, s.emptyResponse()
		}
	}
	for _, e := range t.Expected {
		if s.rows[rowID{e.Table, e.Part, e.Key}].Ver != e.Ver {
			return http.StatusPreconditionFailed, s.emptyResponse()
		}
	}
	s.ver++
	for _, row := range t.Put {
		row.Ver = s.ver
		s.apply(row)
	}
	for _, row := range t.Remove {
		row.Ver, row.Tombstone = s.ver, true
		s.apply(row)
	}
	return http.StatusOK, s.emptyResponse()
}
