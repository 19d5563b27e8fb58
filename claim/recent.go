package claim

import "slices"

// recent is a map that forgets its oldest entries beyond a bound.
type recent[K comparable, V any] struct {
	bound  int
	values map[K]V
	order  []K
}

func newRecent[K comparable, V any](bound int) *recent[K, V] {
	return &recent[K, V]{bound: bound, values: map[K]V{}}
}

func (r *recent[K, V]) get(k K) (V, bool) {
	v, ok := r.values[k]
	return v, ok
}

// oldest returns up to n keys, the oldest first.
func (r *recent[K, V]) oldest(n int) []K {
	return slices.Clone(r.order[:min(n, len(r.order))])
}

func (r *recent[K, V]) remove(k K) {
	delete(r.values, k)
	r.order = slices.DeleteFunc(r.order, func(o K) bool { return o == k })
}

func (r *recent[K, V]) put(k K, v V) {
	if _, known := r.values[k]; !known {
		r.order = append(r.order, k)
	}
	r.values[k] = v
	for len(r.order) > r.bound {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}
