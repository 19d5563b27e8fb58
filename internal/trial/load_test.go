package trial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a load that has no end, is too high or leaves this machine.
func TestLoadOptionsCheck(t *testing.T) {
	good := LoadOptions{
		Entry: "127.0.0.1:80", Backends: []Backend{{Address: "[::1]:81"}},
		Rates: []int{100, maxLoadRate}, RateDuration: time.Second,
	}
	must.NoError(t, good.Check())
	for name, modify := range map[string]func(*LoadOptions){
		"duration too long":     func(o *LoadOptions) { o.RateDuration = time.Hour },
		"zero duration":         func(o *LoadOptions) { o.RateDuration = 0 },
		"rate too high":         func(o *LoadOptions) { o.Rates = []int{maxLoadRate + 1} },
		"zero rate":             func(o *LoadOptions) { o.Rates = []int{0} },
		"remote entry":          func(o *LoadOptions) { o.Entry = "10.0.0.1:80" },
		"host name":             func(o *LoadOptions) { o.Entry = "localhost.example:80" },
		"remote backend server": func(o *LoadOptions) { o.Backends = []Backend{{Address: "192.0.2.1:81"}} },
	} {
		o := good
		modify(&o)
		must.Error(t, o.Check(), must.Sprint(name))
	}
}
