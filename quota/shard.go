package quota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"foxtailspoke/config"
)

// ShardOf returns the name of the shard that a workspace belongs to. The
// number of shards must be the same on every instance.
func ShardOf(workspace string, shards int) string {
	return strconv.FormatUint(xxhash.Sum64String(workspace)%uint64(max(shards, 1)), 10)
}

// Grant is an entry of a shard's row that names this instance and that it may
// use. An entry is identified by its Since. The parts of an entry only
// ever decrease: additional parts come as another entry with another Since. So
// an instance that finds an entry it already knew has held at least these
// parts all along, even if it missed rows in between.
type Grant struct {
	Since uint64
	Parts int
}

// firstRow is the Since of the entries of a shard's first row. Nobody has held
// their parts before.
const firstRow = 0

// Grants returns the entries of a row that name the instance and may be used:
// those that are in force, and those of the shard's first row, which take
// nothing from a former holder. inForce reports whether the write made at table
// revision since is known to be in force everywhere (package membership). An
// invalid row grants nothing.
func Grants(row config.Shard, instance string, inForce func(since uint64) bool) []Grant {
	if !validRow(row) {
		return nil
	}
	var grants []Grant
	for _, e := range row.Holders {
		if e.Instance == instance && (e.Since == firstRow || inForce(e.Since)) {
			grants = append(grants, Grant{Since: e.Since, Parts: e.Parts})
		}
	}
	return grants
}

// EntryRevisions returns the Since of the instance's entries in a row in
// ascending order, whether they are in force or not.
func EntryRevisions(row config.Shard, instance string) []uint64 {
	var since []uint64
	for _, e := range row.Holders {
		if e.Instance == instance {
			since = append(since, e.Since)
		}
	}
	slices.Sort(since)
	return since
}

// PartsByInstance returns the total parts of each instance in a row.
func PartsByInstance(row config.Shard) map[string]int {
	parts := make(map[string]int, len(row.Holders))
	for _, e := range row.Holders {
		parts[e.Instance] += e.Parts
	}
	return parts
}

// WithPreviousHolders returns a row for AskOrder, AskTargets, Next and
// Rebalance that also names the holders of the previous row. Use it while
// these may still use their parts (SetGrantsWithGrace); otherwise nobody would
// ask them for their tokens.
func WithPreviousHolders(row, before config.Shard) config.Shard {
	now := PartsByInstance(row)
	both := config.Shard{Holders: slices.Clone(row.Holders)}
	for _, e := range before.Holders {
		if now[e.Instance] == 0 {
			both.Holders = append(both.Holders, e)
		}
	}
	return both
}

// AskOrder returns the holders of a row other than the asker, in the order in
// which to ask them for tokens: most parts first. Ties are broken by a hash of
// both IDs, so that askers spread over the holders.
func AskOrder(row config.Shard, self string) []string {
	parts := PartsByInstance(row)
	delete(parts, self)
	order := make([]string, 0, len(parts))
	for id, p := range parts {
		if p > 0 {
			order = append(order, id)
		}
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(parts[b], parts[a]),
			cmp.Compare(rendezvousHash(self, a), rendezvousHash(self, b)),
			cmp.Compare(a, b),
		)
	})
	return order
}

// validRow reports whether a row's parts are positive and add up to at most
// PartsPerShard.
func validRow(row config.Shard) bool {
	total := 0
	for _, e := range row.Holders {
		if e.Parts <= 0 || e.Parts > config.PartsPerShard {
			return false
		}
		total += e.Parts
	}
	return total <= config.PartsPerShard
}

// rendezvousHash returns the rendezvous hash of b for a: each a ranks the
// candidates differently.
func rendezvousHash(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}
