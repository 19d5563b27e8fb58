package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders ids by rendezvous hash for a key, highest score first. Every
// instance with the same ids gets the same order. Adding or removing an id
// doesn't change the relative order of the others.
func Rank(key string, ids []string) []string {
	scored := sortedScores(key, ids)
	ranked := make([]string, len(scored))
	for i, s := range scored {
		ranked[i] = s.id
	}
	return ranked
}

// TopRanked returns the id with the highest score for a key, or an empty string
// if ids is empty.
func TopRanked(key string, ids []string) string {
	var best scoredID
	for _, id := range ids {
		s := scoredID{id: id, score: score(key, id)}
		if best.id == "" || compareScores(s, best) < 0 {
			best = s
		}
	}
	return best.id
}

// position returns how many ids rank before id for a key.
func position(key, id string, ids []string) int {
	own := scoredID{id: id, score: score(key, id)}
	before := 0
	for _, other := range ids {
		if compareScores(scoredID{id: other, score: score(key, other)}, own) < 0 {
			before++
		}
	}
	return before
}

type scoredID struct {
	id    string
	score uint64
}

func sortedScores(key string, ids []string) []scoredID {
	scored := make([]scoredID, len(ids))
	for i, id := range ids {
		scored[i] = scoredID{id: id, score: score(key, id)}
	}
	slices.SortFunc(scored, compareScores)
	return scored
}

func compareScores(a, b scoredID) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.id, b.id)
}

func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// separator makes ("ab", "c") and ("a", "bc") hash differently.
var separator = []byte{0}

// remove returns a copy of ids without id.
func remove(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
