package settings_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
)

const valid = `{
  "name": "a", "dataCentre": "dc", "ip": "10.0.0.1",
  "listen": {
    "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3",
    "peers": "10.0.0.1:7340", "metrics": "10.0.0.1:7355" // comment
  },
  "store": { "address": "10.0.0.2:4" }
}`

func TestForwardingAddress(t *testing.T) {
	for _, c := range []struct{ name, change, want, err string }{
		{"default is the port after that of peers", `"peers": "10.0.0.1:7340"`, "10.0.0.1:7341", ""},
		{"set", `"peers": "10.0.0.1:7340", "forwarding": "10.0.0.1:9"`, "10.0.0.1:9", ""},
		{"invalid", `"peers": "10.0.0.1:7340", "forwarding": "9"`, "", "listen.forwarding must be ip:port"},
		{"no peers", `"peers": ""`, "", "must be ip:port"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := settings.Parse([]byte(strings.Replace(valid, `"peers": "10.0.0.1:7340"`, c.change, 1)))
			if c.err != "" {
				must.ErrorContains(t, err, c.err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, c.want, s.Listen.Forwarding)
		})
	}
}
