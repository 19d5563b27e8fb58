package claim

import "slices"

// boundedMap is a map that evicts its oldest entries beyond its capacity.
type boundedMap[K comparable, V any] struct {
	capacity int
	values   map[K]V
	order    []K
}

func newBoundedMap[K comparable, V any](bound int) *boundedMap[K, V] {
	return &boundedMap[K, V]{capacity: bound, values: map[K]V{}}
}

func (r *boundedMap[K, V]) get(k K) (V, bool) {
	v, ok := r.values[k]
	return v, ok
}

// oldest returns up to n keys, oldest first.
func (r *boundedMap[K, V]) oldest(n int) []K {
	return slices.Clone(r.order[:min(n, len(r.order))])
}

func (r *boundedMap[K, V]) remove(k K) {
	delete(r.values, k)
	r.order = slices.DeleteFunc(r.order, func(other K) bool { return other == k })
}

func (r *boundedMap[K, V]) put(k K, v V) {
	if _, exists := r.values[k]; !exists {
		r.order = append(r.order, k)
	}
	r.values[k] = v
	for len(r.order) > r.capacity {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}
