package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lines returns the log lines of instance n with an event.
func (f *fleet) lines(n int, event string) (found []string) {
	for line := range strings.Lines(f.instances[n].log.String()) {
		if strings.Contains(line, `"event":`+event) {
			found = append(found, line)
		}
	}
	return found
}

// Guards against logs that can't tell a start of the process from an outage of the store:
// each start was logged as one.
func TestStartIsNotLoggedAsStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.startAll(2)
	time.Sleep(300 * time.Millisecond)
	must.SliceEmpty(t, f.lines(0, "401"))
	must.SliceEmpty(t, f.lines(1, "401"))
}

// Guards against logs that can't tell where a configuration came from and how old it was
// when it came into force.
func TestConfigurationIsLoggedWithItsSource(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(4)
	f.configure(1000, "another")
	for n := range f.instances {
		eventually(t, 2*time.Second, "the new configuration is in force", func() bool {
			r, _ := f.lookup(n)
			return r.status == http.StatusUnauthorized
		})
	}
	forwarded := 0
	for n := range f.instances {
		eventually(t, time.Second, "both configurations are logged", func() bool { return len(f.lines(n, "511")) == 2 })
		last := f.lines(n, "511")[1]
		if strings.Contains(last, `"source":"store"`) {
			must.StrContains(t, last, `"age_ms":`)
			continue
		}
		forwarded++
		must.StrContains(t, last, `"announced_ms":`)
	}
	must.Positive(t, forwarded, must.Sprint("some instance has the configuration from another one"))
}
