package config

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"foxtailspoke/platform"
)

// Replica is one instance's copy of the control table with its indexes.
//
// Its revision never goes down: changes that end at or below it are dropped,
// so that a late or stale answer can't bring back a withdrawn key.
type Replica struct {
	revision platform.Revision
	rows     map[string]platform.Row

	workspaces map[string]Workspace
	plans      map[string]Plan
	services   map[string]Service
	keys       map[KeyHash]Key
	shards     map[string]Shard
	permits    map[string]Permits
	witnesses  Witnesses
	lists      Lists
	// routes is ordered by prefix, longest first.
	routes []routeEntry
}

type routeEntry struct {
	Route
	service string
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica {
	r := &Replica{}
	r.reset()
	return r
}

func (r *Replica) reset() {
	r.rows = map[string]platform.Row{}
	r.workspaces = map[string]Workspace{}
	r.plans = map[string]Plan{}
	r.services = map[string]Service{}
	r.keys = map[KeyHash]Key{}
	r.shards = map[string]Shard{}
	r.permits = map[string]Permits{}
	r.witnesses = Witnesses{}
	r.lists = Lists{}
	r.routes = nil
}

// Revision returns the revision of the control table that the replica has.
func (r *Replica) Revision() platform.Revision { return r.revision }

// Apply takes changes that were read with Since at or below the replica's
// revision. It returns false, and changes nothing, if they are not newer.
func (r *Replica) Apply(c platform.Changes) bool {
	if c.Revision <= r.revision {
		return false
	}
	if c.Full {
		r.reset()
	}
	routesChanged := c.Full
	for _, row := range c.Rows {
		if r.rows[row.Key].Revision >= row.Revision {
			continue
		}
		r.rows[row.Key] = row
		r.index(row)
		routesChanged = routesChanged || strings.HasPrefix(row.Key, ServicePrefix)
	}
	if routesChanged {
		r.indexRoutes()
	}
	r.revision = c.Revision
	return true
}

// Since returns what changed after a revision, for another instance.
func (r *Replica) Since(since platform.Revision) platform.Changes {
	c := platform.Changes{Revision: r.revision, Full: since == 0}
	if since >= r.revision {
		return c
	}
	for _, row := range r.rows {
		if row.Revision > since {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return c
}

// Row returns a row as it stands in the table, for conditional writes. The
// row's Revision is 0 if it was never there, and for a deleted row the
// condition to use is 0 as well.
func (r *Replica) Row(key string) (platform.Row, bool) {
	row, ok := r.rows[key]
	if !ok || row.Deleted {
		return platform.Row{Key: key}, false
	}
	return row, true
}

// Rows returns the keys of the present rows that start with prefix, sorted.
func (r *Replica) Rows(prefix string) []string {
	var keys []string
	for key, row := range r.rows {
		if !row.Deleted && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// WorkspaceByKey returns the workspace that the key was given to.
func (r *Replica) WorkspaceByKey(h KeyHash) (Workspace, bool) {
	key, ok := r.keys[h]
	if !ok {
		return Workspace{}, false
	}
	w, ok := r.workspaces[key.Workspace]
	return w, ok
}

// Limit returns what the workspace may use of a service; false if nothing.
func (r *Replica) Limit(workspace, service string) (Limit, bool) {
	w, ok := r.workspaces[workspace]
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
func (r *Replica) Services() []string {
	names := make([]string, 0, len(r.services))
	for name := range r.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Route returns the service and the route with the longest prefix of path.
func (r *Replica) Route(path string) (string, Route, bool) {
	for _, e := range r.routes {
		if strings.HasPrefix(path, e.Prefix) {
			return e.service, e.Route, true
		}
	}
	return "", Route{}, false
}

// Shard returns the row of a shard by its name.
func (r *Replica) Shard(name string) Shard { return r.shards[name] }

// Permits returns the ejected backend servers of a service.
func (r *Replica) Permits(service string) Permits { return r.permits[service] }

// Witnesses returns the row that names the witnesses.
func (r *Replica) Witnesses() Witnesses { return r.witnesses }

// Lists returns the version of the accepted lists.
func (r *Replica) Lists() Lists { return r.lists }

func (r *Replica) index(row platform.Row) {
	prefix, name, found := strings.Cut(row.Key, "/")
	if !found {
		r.indexSingle(row)
		return
	}
	switch prefix + "/" {
	case WorkspacePrefix:
		setRow(r.workspaces, name, row, func(w *Workspace) { w.Name = name })
	case PlanPrefix:
		setRow(r.plans, name, row, func(p *Plan) { p.Name = name })
	case ServicePrefix:
		setRow(r.services, name, row, func(s *Service) { s.Name = name })
	case KeyPrefix:
		var h KeyHash
		if n, err := hex.Decode(h[:], []byte(name)); err == nil && n == len(h) {
			setRow(r.keys, h, row, func(*Key) {})
		}
	case ShardPrefix:
		setRow(r.shards, name, row, func(*Shard) {})
	case PermitPrefix:
		setRow(r.permits, name, row, func(*Permits) {})
	}
}

func (r *Replica) indexSingle(row platform.Row) {
	switch row.Key {
	case WitnessesKey:
		r.witnesses = Witnesses{}
		_ = json.Unmarshal(row.Value, &r.witnesses)
	case ListsKey:
		r.lists = Lists{}
		_ = json.Unmarshal(row.Value, &r.lists)
	}
}

// setRow puts a row's decoded value into an index. A row that can't be
// decoded counts as absent: what isn't understood isn't granted.
func setRow[K comparable, V any](m map[K]V, k K, row platform.Row, named func(*V)) {
	delete(m, k)
	if row.Deleted {
		return
	}
	var v V
	if json.Unmarshal(row.Value, &v) != nil {
		return
	}
	named(&v)
	m[k] = v
}

func (r *Replica) indexRoutes() {
	r.routes = r.routes[:0]
	for name, s := range r.services {
		for _, route := range s.Routes {
			r.routes = append(r.routes, routeEntry{Route: route, service: name})
		}
	}
	slices.SortFunc(r.routes, func(a, b routeEntry) int {
		return cmp.Or(len(b.Prefix)-len(a.Prefix), cmp.Compare(a.Prefix, b.Prefix))
	})
}
