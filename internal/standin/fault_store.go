package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxControlBodyBytes is the maximum size of a request body to the control API.
const maxControlBodyBytes = 1 << 20

// faultStore holds the current set of faults, or the state of a link, and serves
// the requests of the control API that read and change it. It is safe for
// concurrent use. T must be a struct without references, so that a copy shares no
// memory with the original.
type faultStore[T any] struct {
	mu     sync.Mutex
	faults T
	// changed is closed and replaced on every update.
	changed chan struct{}
	// validate rejects an invalid set of faults.
	validate func(T) error
	// onUpdate is called with every new set, with mu held, before get returns
	// it.
	onUpdate func(T)
}

func newFaultStore[T any](validate func(T) error, onUpdate func(T)) *faultStore[T] {
	return &faultStore[T]{changed: make(chan struct{}), validate: validate, onUpdate: onUpdate}
}

// get returns the faults and a channel that is closed on the next update.
func (s *faultStore[T]) get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// update applies f to the faults. If f or the validation fails, the faults stay
// unchanged.
func (s *faultStore[T]) update(f func(*T) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.faults
	if err := f(&next); err != nil {
		return err
	}
	if err := s.validate(next); err != nil {
		return err
	}
	s.onUpdate(next)
	s.faults = next
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// consume decrements the counter of a fault that applies to a limited number of
// requests. It returns false if the counter is already zero.
func (s *faultStore[T]) consume(counter func(*T) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP implements GET, POST and DELETE of the control API.
func (s *faultStore[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		decoder.DisallowUnknownFields()
		err = s.update(func(faults *T) error { return decoder.Decode(faults) })
	case http.MethodDelete:
		err = s.update(func(faults *T) error {
			var zero T
			*faults = zero
			return nil
		})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, _ := s.get()
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
