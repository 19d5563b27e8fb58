package standin

import (
	"slices"
	"strings"
	"sync"
)

// objectStore is an in-memory object store.
type objectStore struct {
	mu      sync.Mutex
	objects map[string][]byte
}

func newObjectStore() *objectStore {
	return &objectStore{objects: map[string][]byte{}}
}

func (s *objectStore) put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
}

func (s *objectStore) get(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *objectStore) names(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
