package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxControlBody bounds a request to a control address, in bytes.
const maxControlBody = 1 << 20

// faultSwitch holds a set of faults. It is safe for concurrent use. T is a
// flat struct, so that a copy shares nothing with the original.
type faultSwitch[T any] struct {
	mu     sync.Mutex
	faults T
	// changed is closed, and replaced, at every change.
	changed chan struct{}
	// validate refuses a set of faults that makes no sense.
	validate func(T) error
	// onUpdate is called with every new set, before anybody else sees it.
	onUpdate func(T)
}

func newFaultSwitch[T any](validate func(T) error, onUpdate func(T)) *faultSwitch[T] {
	return &faultSwitch[T]{changed: make(chan struct{}), validate: validate, onUpdate: onUpdate}
}

// get returns the faults and a channel that is closed when they change.
func (s *faultSwitch[T]) get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// update changes the faults by f. If f or the validation fails, they stay.
func (s *faultSwitch[T]) update(f func(*T) error) error {
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

// consume uses up one of a counted fault: it returns whether any was left.
func (s *faultSwitch[T]) consume(counter func(*T) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP implements the control calls.
func (s *faultSwitch[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
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
