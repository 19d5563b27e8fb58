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
// Its revision never goes down: changes that end at or below it are dropped,
// so that a late or stale answer can't bring back a withdrawn key.
//
// Workspaces and keys, of which there are many, are kept as their rows alone
// with the one reference decoded that a request needs.
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
	// planNames has one copy of each plan's name that workspaces refer to.
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

// Revision returns the revision of the control table that the replica has.
func (r *Replica) Revision() storage.Revision { return r.revision }

// HistoryStart returns the revision from which on the replica knows every change.
// Since returns the whole table for an older revision.
func (r *Replica) HistoryStart() storage.Revision { return r.rows.historyStart }

// Apply takes changes that were read with Since at or below the replica's
// revision. It returns false, and changes nothing, if they are not newer.
func (r *Replica) Apply(c storage.Changes) bool {
	if c.Revision <= r.revision {
		return false
	}
	if c.Full && r.revision == 0 {
		// The whole table tells nothing of rows that were deleted.
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

// deleteAbsent deletes the rows that the whole table at a revision didn't have.
// They were deleted some time up to then, so a tombstone at that revision
// tells everybody who may still have them.
func (r *Replica) deleteAbsent(revision storage.Revision) (routesChanged bool) {
	for _, rec := range r.rows.takeAbsentFromSnapshot() {
		gone := storage.Row{Key: unpackKey(rec.key()), Revision: revision, Deleted: true}
		routesChanged = r.indexRow(gone, false) || routesChanged
	}
	return routesChanged
}

func (r *Replica) pruneTombstones(keep int) { r.rows.pruneTombstones(keep) }

// Since returns what changed after a revision, for another instance. It is
// the whole table if the revision is 0, or so old that a deletion since then
// may have been forgotten: whoever would get only the rest of the changes
// would keep, say, a withdrawn key for ever.
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

// Row returns a row as it stands in the table, for conditional writes. The
// row's Revision is 0 if it was never there, and for a deleted row the
// condition to use is 0 as well. The rows of workspaces and keys come without
// their attempt.
func (r *Replica) Row(key string) (storage.Row, bool) {
	rec := r.rows.present(packKey(key))
	if rec == nil {
		return storage.Row{Key: key}, false
	}
	return rec.row(), true
}

// RowKeys returns the keys of the present rows that start with prefix, sorted.
func (r *Replica) RowKeys(prefix string) []string { return r.rows.keys(prefix) }

// WorkspaceByKey returns the workspace that the key was given to.
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

// Workspaces goes through all workspaces, those whose row changed last at the
// end. The order is the same at every replica with the same history.
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

// Limit returns what the workspace may use of a service; false if nothing.
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

// Shard returns the row of a shard by its name.
func (r *Replica) Shard(name string) Shard { return r.shards[name] }

// Permits returns the ejected backend servers of a service.
func (r *Replica) Permits(service string) Permits { return r.permits[service] }

// Witnesses returns the row that names the witnesses.
func (r *Replica) Witnesses() Witnesses { return r.witnesses }

// ListsVersion returns the version of the accepted lists.
func (r *Replica) ListsVersion() ListsVersion { return r.lists }

// indexRow takes one row into the store and the indexes. It tells whether the
// routes have to be indexed anew.
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

// decodeWorkspaceRef decodes a workspace's plan. A row that can't be decoded
// counts as absent: what isn't understood isn't granted.
func (r *Replica) decodeWorkspaceRef(rec *record) {
	var w Workspace
	rec.refOrAttempt = ""
	if rec.deleted || json.Unmarshal([]byte(rec.value()), &w) != nil {
		return
	}
	rec.refOrAttempt, rec.hasRef = r.internPlanName(w.Plan), true
}

// decodeAPIKeyRef decodes a key's workspace.
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

// internPlanName returns the one copy of a name.
func (r *Replica) internPlanName(name string) string {
	if known, ok := r.planNames[name]; ok {
		return known
	}
	r.planNames[name] = name
	return name
}

// decodeIntoIndex puts a row's decoded value into an index. A row that can't be
// decoded counts as absent.
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
