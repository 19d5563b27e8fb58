package membership

import (
	"cmp"
	"slices"

	"foxtailspoke/storage"
)

// Directory is the platform's list of instances as last received, with the
// roles derived from it. Every instance that has the same version derives the
// same roles. Returned slices are shared and must not be modified.
type Directory struct {
	set     Settings
	version uint64
	// oldestDelta is the oldest version from which changes can be served as
	// a delta: the version of the last full list or of the last pruned
	// record. Removals before it are no longer known, so callers with an
	// older version get the full list.
	oldestDelta uint64
	instances   map[string]instanceRecord

	entries              []storage.Instance
	entryIDs             []string
	serversByService     map[string][]storage.Instance
	dataCentres          []string
	entryIDsByDataCentre map[string][]string
	watchers             map[string][]string
	collectors           map[string]string
	witnesses            []string // all live entries in the order of the witness role
	// interned holds one copy of each string that many instances share.
	interned map[string]string
	// selfIsWatcher reports whether this instance is a watcher.
	selfIsWatcher bool
}

type instanceRecord struct {
	storage.Instance
	// changed is the list version at which the instance last changed.
	changed uint64
}

func newDirectory(s Settings) *Directory {
	d := &Directory{set: s, instances: map[string]instanceRecord{}, collectors: map[string]string{}, interned: map[string]string{}}
	d.rebuildIndex()
	d.updateEntryRoles(nil)
	return d
}

// Version returns the version of the platform's list; 0 before the first
// list was received.
func (d *Directory) Version() uint64 { return d.version }

// Instance returns an instance by id, whatever its state.
func (d *Directory) Instance(id string) (storage.Instance, bool) {
	i, ok := d.instances[id]
	return i.Instance, ok
}

// Entries returns the live entry instances, ordered by id.
func (d *Directory) Entries() []storage.Instance { return d.entries }

// Servers returns the backend servers of a service that have not ended,
// ordered by id. Those in state Leaving accept no new work.
func (d *Directory) Servers(service string) []storage.Instance { return d.serversByService[service] }

// DataCentres returns the data centres with live entry instances, sorted.
func (d *Directory) DataCentres() []string { return d.dataCentres }

// apply applies changes since the directory's version or an earlier one. It
// returns false, and has no effect, if they are not newer.
func (d *Directory) apply(c storage.InstanceChanges) bool {
	if c.Version <= d.version {
		return false
	}
	if c.Full {
		d.instances = make(map[string]instanceRecord, len(c.Changed))
		d.oldestDelta = c.Version
	}
	before := d.entryIDs
	for _, i := range c.Changed {
		former := d.instances[i.ID].Instance
		d.instances[i.ID] = instanceRecord{Instance: d.internStrings(i), changed: c.Version}
		if !c.Full {
			d.removeFromIndex(former)
			d.addToIndex(d.instances[i.ID].Instance)
		}
	}
	d.version = c.Version
	d.pruneEnded()
	if c.Full {
		d.rebuildIndex()
	}
	d.updateEntryRoles(before)
	return true
}

// maxEndedInstances bounds the number of ended instances that a directory
// keeps. Instances are replaced continually, so an unbounded list would grow
// for as long as the process runs.
const maxEndedInstances = 1000

// pruneEnded drops the oldest ended instances, down to half of
// maxEndedInstances, when there are more than maxEndedInstances. Callers with
// a version older than the dropped records get the full list, because a delta
// would not include those ends.
func (d *Directory) pruneEnded() {
	var ended []instanceRecord
	for _, i := range d.instances {
		if i.State == storage.Ended {
			ended = append(ended, i)
		}
	}
	if len(ended) <= maxEndedInstances {
		return
	}
	slices.SortFunc(ended, func(a, b instanceRecord) int {
		return cmp.Or(cmp.Compare(a.changed, b.changed), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range ended[:len(ended)-maxEndedInstances/2] {
		delete(d.instances, i.ID)
		d.oldestDelta = max(d.oldestDelta, i.changed)
	}
}

// changesSince returns the changes after a version, for another instance.
func (d *Directory) changesSince(version uint64) storage.InstanceChanges {
	c := storage.InstanceChanges{Version: d.version}
	if version >= d.version {
		return c
	}
	c.Full = version < d.oldestDelta
	var ids []string
	for id, i := range d.instances {
		if c.Full || i.changed > version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.Changed = append(c.Changed, d.instances[id].Instance)
	}
	return c
}

// internStrings returns the instance with the strings that many instances have
// in common replaced by a single copy. Decoding allocates a copy of each string
// per instance, which takes megabytes for 26,000 instances.
func (d *Directory) internStrings(i storage.Instance) storage.Instance {
	i.Kind = storage.Kind(d.intern(string(i.Kind)))
	i.State = storage.State(d.intern(string(i.State)))
	i.Service = d.intern(i.Service)
	i.DataCentre = d.intern(i.DataCentre)
	i.Region = d.intern(i.Region)
	return i
}

func (d *Directory) intern(s string) string {
	if known, ok := d.interned[s]; ok {
		return known
	}
	d.interned[s] = s
	return s
}

// rebuildIndex rebuilds the index from all instances. It sorts ids rather than
// whole instances to keep this cheap for lists of thousands.
func (d *Directory) rebuildIndex() {
	d.entries = nil
	d.entryIDs = nil
	d.serversByService = map[string][]storage.Instance{}
	d.entryIDsByDataCentre = map[string][]string{}
	for _, id := range sortedKeys(d.instances) {
		d.appendToIndex(d.instances[id].Instance)
	}
}

// updateEntryRoles updates the roles that depend on the live entry instances;
// before holds the ids of the previous ones.
func (d *Directory) updateEntryRoles(before []string) {
	d.watchers = map[string][]string{}
	d.witnesses = nil
	d.updateCollectors(before)
	d.dataCentres = sortedKeys(d.entryIDsByDataCentre)
	d.selfIsWatcher = d.isWatcher(d.set.Self)
}

// addToIndex inserts one instance at its sorted position. A list of some
// thousands of instances changes every few seconds, and rebuilding the whole
// index takes 16 ms with 26,000 instances, which blocks the node. Slices
// returned earlier are not modified.
func (d *Directory) addToIndex(i storage.Instance) {
	switch {
	case isLiveEntry(i):
		at, _ := slices.BinarySearchFunc(d.entries, i, compareInstances)
		d.entries = slices.Insert(slices.Clone(d.entries), at, i)
		d.entryIDs = slices.Insert(slices.Clone(d.entryIDs), at, i.ID)
		ids := d.entryIDsByDataCentre[i.DataCentre]
		at, _ = slices.BinarySearch(ids, i.ID)
		d.entryIDsByDataCentre[i.DataCentre] = slices.Insert(slices.Clone(ids), at, i.ID)
	case isServer(i):
		servers := d.serversByService[i.Service]
		at, _ := slices.BinarySearchFunc(servers, i, compareInstances)
		d.serversByService[i.Service] = slices.Insert(slices.Clone(servers), at, i)
	}
}

func (d *Directory) removeFromIndex(i storage.Instance) {
	same := func(o storage.Instance) bool { return o.ID == i.ID }
	switch {
	case isLiveEntry(i):
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), same)
		d.entryIDs = remove(d.entryIDs, i.ID)
		d.entryIDsByDataCentre[i.DataCentre] = remove(d.entryIDsByDataCentre[i.DataCentre], i.ID)
		if len(d.entryIDsByDataCentre[i.DataCentre]) == 0 {
			delete(d.entryIDsByDataCentre, i.DataCentre)
		}
	case isServer(i):
		d.serversByService[i.Service] = slices.DeleteFunc(slices.Clone(d.serversByService[i.Service]), same)
	}
}

func compareInstances(a, b storage.Instance) int { return cmp.Compare(a.ID, b.ID) }

func isLiveEntry(i storage.Instance) bool {
	return i.Kind == storage.Entry && i.State == storage.Live
}

func isServer(i storage.Instance) bool {
	return i.Kind == storage.BackendServer && i.State != storage.Ended
}

func (d *Directory) appendToIndex(i storage.Instance) {
	switch {
	case isLiveEntry(i):
		d.entries = append(d.entries, i)
		d.entryIDs = append(d.entryIDs, i.ID)
		d.entryIDsByDataCentre[i.DataCentre] = append(d.entryIDsByDataCentre[i.DataCentre], i.ID)
	case isServer(i):
		d.serversByService[i.Service] = append(d.serversByService[i.Service], i)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
