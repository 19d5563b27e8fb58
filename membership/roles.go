package membership

import "slices"

// Rendezvous hash keys of the roles.
const (
	watcherKey   = "watcher"
	witnessKey   = "witness"
	collectorKey = "collector/"
	holderKey    = "holder/"
	pullKey      = "pull/"
)

// Watchers returns the entry instances of a data centre that read the table on
// behalf of the others there, highest rank first.
func (d *Directory) Watchers(dataCentre string) []string {
	watchers, ok := d.watchers[dataCentre]
	if !ok {
		ids := d.entryIDsByDataCentre[dataCentre]
		ranked := Rank(watcherKey, ids)
		watchers = ranked[:min(len(ranked), d.watcherCount(len(ids)))]
		d.watchers[dataCentre] = watchers
	}
	return watchers
}

// allWatchers returns the watchers of all data centres.
func (d *Directory) allWatchers() []string {
	var all []string
	for _, centre := range d.dataCentres {
		all = append(all, d.Watchers(centre)...)
	}
	return all
}

// watcherCount returns the number of watchers of a data centre. It grows with
// the number of instances to bound the pulls that each watcher serves.
func (d *Directory) watcherCount(instances int) int {
	pullers := d.set.PullersPerWatcher
	return max(d.set.WatchersPerDataCentre, (instances+pullers-1)/pullers)
}

// Collector returns the entry instance that collects the failure evidence about
// the backend servers of a service, or an empty string if no instance is live.
func (d *Directory) Collector(service string) string {
	collector, ok := d.collectors[service]
	if !ok {
		collector = TopRanked(collectorKey+service, d.entryIDs)
		d.collectors[service] = collector
	}
	return collector
}

// updateCollectors updates the cached collectors after entry instances were added
// or removed. Ranking all instances again for every service would block a node
// with 2,000 instances and 560 services for 60 ms at each change.
func (d *Directory) updateCollectors(before []string) {
	added := slices.Clip(difference(d.entryIDs, before))
	removed := difference(before, d.entryIDs)
	for service, collector := range d.collectors {
		if collector == "" || slices.Contains(removed, collector) {
			delete(d.collectors, service)
			continue
		}
		d.collectors[service] = TopRanked(collectorKey+service, append(added, collector))
	}
}

// difference returns the ids that aren't in others. Both slices are sorted.
func difference(ids, others []string) []string {
	var rest []string
	for _, id := range ids {
		if _, found := slices.BinarySearch(others, id); !found {
			rest = append(rest, id)
		}
	}
	return rest
}

// HolderCandidates returns up to count entry instances for a shard, highest rank
// first. The first ones are in different data centres, as far as there are any.
func (d *Directory) HolderCandidates(shard string, count int) []string {
	ranked := Rank(holderKey+shard, d.entryIDs)
	var chosen, rest []string
	used := map[string]bool{}
	for _, id := range ranked {
		centre := d.instances[id].DataCentre
		if used[centre] {
			rest = append(rest, id)
			continue
		}
		used[centre] = true
		chosen = append(chosen, id)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(count, len(chosen))]
}

// rankedWitnesses returns the live entry instances in the order of the witness
// role, highest rank first.
func (d *Directory) rankedWitnesses() []string {
	if d.witnesses == nil {
		d.witnesses = Rank(witnessKey, d.entryIDs)
	}
	return d.witnesses
}

// isWatcher says whether an instance is a watcher of its data centre.
func (d *Directory) isWatcher(id string) bool {
	i, ok := d.instances[id]
	return ok && slices.Contains(d.Watchers(i.DataCentre), id)
}
