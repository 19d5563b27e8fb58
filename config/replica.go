package config

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"strings"

	"foxtailspoke/storage"
)

// Replica is one instance's copy of the control table with its indexes.
//
// Its revision never decreases: changes that end at or below it are dropped, so
// that a delayed or stale response can't restore a withdrawn API key.
//
// To save memory, workspaces and API keys are stored as encoded rows with only
// the reference decoded that requests need: the plan or the workspace.
type Replica struct {
	revision storage.Revision
	rows     *rowStore

	plans     map[string]Plan
	services  map[string]Service
	shards    map[string]Shard
	permits   map[string]Permits
	witnesses Witnesses
	lists     ListsVersion
	routes    routeIndex
	// planNames interns the plan names that workspaces refer to.
	planNames map[string]string
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica {
	return &Replica{
		rows:      newRowStore(),
		plans:     map[string]Plan{},
		services:  map[string]Service{},
		shards:    map[string]Shard{},
		permits:   map[string]Permits{},
		planNames: map[string]string{},
	}
}

// Revision returns the revision of the control table that the replica is at.
func (r *Replica) Revision() storage.Revision { return r.revision }

// HistoryStart returns the revision from which on the replica has every change,
// including deletions. For an older revision, Since returns the whole table.
func (r *Replica) HistoryStart() storage.Revision { return r.rows.historyStart }

// Apply applies changes that were read since a revision at or below the
// replica's. It returns false and changes nothing if c isn't newer than the
// replica.
func (r *Replica) Apply(c storage.Changes) bool {
	if c.Revision <= r.revision {
		return false
	}
	if c.Full && r.revision == 0 {
		// A snapshot has no tombstones of the rows deleted before it.
		r.rows.historyStart = c.Revision
	}
	routesChanged := false
	for _, row := range c.Rows {
		old := r.rows.get(packKey(row.Key))
		if old != nil && old.revision >= row.Revision {
			old.inSnapshot = c.Full
			continue
		}
		routesChanged = r.indexRow(row, c.Full) || routesChanged
	}
	if c.Full {
		routesChanged = r.deleteAbsent(c.Revision) || routesChanged
	}
	if routesChanged {
		r.routes = newRouteIndex(r.services)
	}
	if r.rows.tombstones > maxTombstones {
		r.pruneTombstones(maxTombstones / 2)
	}
	r.revision = c.Revision
	return true
}

// deleteAbsent deletes the rows that the snapshot at a revision doesn't contain.
// They were deleted at or before that revision, so a tombstone at it reaches
// every replica that may still have them.
func (r *Replica) deleteAbsent(revision storage.Revision) (routesChanged bool) {
	for _, rec := range r.rows.takeAbsentFromSnapshot() {
		gone := storage.Row{Key: unpackKey(rec.key()), Revision: revision, Deleted: true}
		routesChanged = r.indexRow(gone, false) || routesChanged
	}
	return routesChanged
}

func (r *Replica) pruneTombstones(keep int) { r.rows.pruneTombstones(keep) }

// Since returns the changes after a revision, for another instance. It returns
// the whole table if the revision is 0, or so old that a later tombstone may have
// been pruned: with an incremental update, the receiver would keep a deleted row,
// such as a withdrawn API key, indefinitely.
func (r *Replica) Since(since storage.Revision) storage.Changes {
	c := storage.Changes{Revision: r.revision, Full: since == 0}
	if since >= r.revision {
		return c
	}
	if since < r.rows.historyStart {
		c.Full = true
	}
	if c.Full {
		since = 0
	}
	c.Rows = r.rows.since(since, !c.Full)
	return c
}

// Row returns the current row for use in conditional writes. If the row doesn't
// exist or was deleted, it returns a row with Revision 0, which is the revision to
// use in the condition, and false. Rows of workspaces and API keys lack their
// Attempt.
func (r *Replica) Row(key string) (storage.Row, bool) {
	rec := r.rows.present(packKey(key))
	if rec == nil {
		return storage.Row{Key: key}, false
	}
	return rec.row(), true
}

// RowKeys returns the keys of the present rows that start with prefix, sorted.
func (r *Replica) RowKeys(prefix string) []string { return r.rows.keys(prefix) }

// WorkspaceByKey returns the workspace that owns the API key with this hash.
func (r *Replica) WorkspaceByKey(h KeyHash) (Workspace, bool) {
	key := r.rows.present(packHash(h))
	if key == nil || !key.hasRef {
		return Workspace{}, false
	}
	return r.workspaceByName(key.refOrAttempt)
}

func (r *Replica) workspaceByName(name string) (Workspace, bool) {
	rec := r.rows.present(WorkspacePrefix + name)
	if rec == nil || !rec.hasRef {
		return Workspace{}, false
	}
	return Workspace{Name: rec.key()[len(WorkspacePrefix):], Plan: rec.refOrAttempt}, true
}

// Workspaces iterates over all workspaces by ascending revision of their rows.
// The order is the same at every replica with the same history.
func (r *Replica) Workspaces() iter.Seq[Workspace] {
	return func(yield func(Workspace) bool) {
		for _, rec := range r.rows.log {
			if rec.superseded || !rec.hasRef || !strings.HasPrefix(rec.key(), WorkspacePrefix) {
				continue
			}
			if !yield(Workspace{Name: rec.key()[len(WorkspacePrefix):], Plan: rec.refOrAttempt}) {
				return
			}
		}
	}
}

// Plan returns a plan by name.
func (r *Replica) Plan(name string) (Plan, bool) {
	p, ok := r.plans[name]
	return p, ok
}

// Limit returns the workspace's limit for a service, and false if its plan
// doesn't include the service.
func (r *Replica) Limit(workspace, service string) (Limit, bool) {
	w, ok := r.workspaceByName(workspace)
	if !ok {
		return Limit{}, false
	}
	l, ok := r.plans[w.Plan].Services[service]
	return l, ok
}

// Service returns a service by name.
func (r *Replica) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (r *Replica) Services() []string { return slices.Sorted(maps.Keys(r.services)) }

// Route returns the service and the route with the longest prefix of path.
func (r *Replica) Route(path string) (string, Route, bool) {
	e, ok := r.routes.longestPrefix(path)
	return e.service, e.Route, ok
}

// Shard returns a shard by name.
func (r *Replica) Shard(name string) Shard { return r.shards[name] }

// Permits returns the ejected backend servers of a service.
func (r *Replica) Permits(service string) Permits { return r.permits[service] }

// Witnesses returns the row that names the witnesses.
func (r *Replica) Witnesses() Witnesses { return r.witnesses }

// ListsVersion returns the version and digest of the accepted lists.
func (r *Replica) ListsVersion() ListsVersion { return r.lists }

// indexRow puts a row into the store and the indexes. It reports whether the
// route index has to be rebuilt.
func (r *Replica) indexRow(row storage.Row, inSnapshot bool) (routesChanged bool) {
	rec := newRecord(row)
	rec.inSnapshot = inSnapshot
	prefix, name, _ := strings.Cut(row.Key, "/")
	switch prefix + "/" {
	case WorkspacePrefix:
		r.decodeWorkspaceRef(rec)
	case APIKeyPrefix:
		r.decodeAPIKeyRef(rec)
	case PlanPrefix:
		decodeIntoIndex(r.plans, name, row, func(p *Plan) { p.Name = name })
	case ServicePrefix:
		before := r.services[name].Routes
		decodeIntoIndex(r.services, name, row, func(s *Service) { s.Name = name })
		routesChanged = !slices.EqualFunc(before, r.services[name].Routes, Route.equal)
	case ShardPrefix:
		decodeIntoIndex(r.shards, name, row, func(*Shard) {})
	case PermitPrefix:
		decodeIntoIndex(r.permits, name, row, func(*Permits) {})
	}
	switch row.Key {
	case WitnessesKey:
		r.witnesses = Witnesses{}
		_ = json.Unmarshal(row.Value, &r.witnesses)
	case ListsKey:
		r.lists = ListsVersion{}
		_ = json.Unmarshal(row.Value, &r.lists)
	}
	r.rows.put(rec)
	return routesChanged
}

func newRecord(row storage.Row) *record {
	key := packKey(row.Key)
	rec := &record{revision: row.Revision, keyLen: uint32(len(key)), deleted: row.Deleted, refOrAttempt: row.Attempt}
	rec.data = key
	if !row.Deleted {
		rec.data += string(row.Value)
	}
	return rec
}

// decodeWorkspaceRef decodes the plan name of a workspace. A row that can't be
// decoded is treated as absent, so that it grants no access.
func (r *Replica) decodeWorkspaceRef(rec *record) {
	var w Workspace
	rec.refOrAttempt = ""
	if rec.deleted || json.Unmarshal([]byte(rec.value()), &w) != nil {
		return
	}
	rec.refOrAttempt, rec.hasRef = r.internPlanName(w.Plan), true
}

// decodeAPIKeyRef decodes the workspace name of an API key, and shares the
// workspace row's copy of the name if there is one.
func (r *Replica) decodeAPIKeyRef(rec *record) {
	var k APIKey
	rec.refOrAttempt = ""
	if rec.deleted || json.Unmarshal([]byte(rec.value()), &k) != nil {
		return
	}
	rec.refOrAttempt, rec.hasRef = k.Workspace, true
	if w, ok := r.workspaceByName(k.Workspace); ok {
		rec.refOrAttempt = w.Name
	}
}

// internPlanName returns the shared copy of a plan name.
func (r *Replica) internPlanName(name string) string {
	if known, ok := r.planNames[name]; ok {
		return known
	}
	r.planNames[name] = name
	return name
}

// decodeIntoIndex decodes a row's value into an index. A row that can't be
// decoded is treated as absent.
func decodeIntoIndex[K comparable, V any](m map[K]V, k K, row storage.Row, setName func(*V)) {
	delete(m, k)
	if row.Deleted {
		return
	}
	var v V
	if json.Unmarshal(row.Value, &v) != nil {
		return
	}
	setName(&v)
	m[k] = v
}
