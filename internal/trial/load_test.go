package trial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A load is bounded and stays on this machine, whatever is asked for.
func TestLoadIsBounded(t *testing.T) {
	good := LoadOptions{
		Entry: "127.0.0.1:80", Backends: []Backend{{Address: "[::1]:81"}},
		Rates: []int{100, maxLoadRate}, RateDuration: time.Second,
	}
	must.NoError(t, good.Check())
	for name, spoil := range map[string]func(*LoadOptions){
		"endless":       func(o *LoadOptions) { o.RateDuration = time.Hour },
		"no time":       func(o *LoadOptions) { o.RateDuration = 0 },
		"flood":         func(o *LoadOptions) { o.Rates = []int{maxLoadRate + 1} },
		"no rate":       func(o *LoadOptions) { o.Rates = []int{0} },
		"other machine": func(o *LoadOptions) { o.Entry = "10.0.0.1:80" },
		"name":          func(o *LoadOptions) { o.Entry = "localhost.example:80" },
		"other backend": func(o *LoadOptions) { o.Backends = []Backend{{Address: "192.0.2.1:81"}} },
	} {
		o := good
		spoil(&o)
		must.Error(t, o.Check(), must.Sprint(name))
	}
}
