package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/retry"
)

// A retry was rejected by a server of another service. Guards against retries that count
// only where they were meant to go: the limit applies where they arrive.
func TestStrayRetriesAreCountedWhereTheyArrived(t *testing.T) {
	var s retry.StrayRetries
	s.Add("10.0.0.1:80", 1, time.Second)
	s.Add("10.0.0.1:80", 1, 2*time.Second)
	s.Add("10.0.0.2:80", 1, 2*time.Second)
	must.Eq(t, 2, s.Take("10.0.0.1:80", 2, 3*time.Second))
	must.Zero(t, s.Take("10.0.0.1:80", 2, 3*time.Second))
	must.Zero(t, s.Take("10.0.0.2:80", 1, 3*time.Second), must.Sprint("it was meant for that service"))
	s.Add("10.0.0.3:80", 1, 3*time.Second)
	must.Zero(t, s.Take("10.0.0.3:80", 2, 20*time.Second), must.Sprint("older than the window"))
}
