package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

const minimal = `{
	// Only the required fields.
	"dataCentre": "luzon-1",
	"callers": {"listen": "127.0.0.1:0"},
	"peers": {"listen": "127.0.0.1:0", "secretFile": "secret"},
	"operators": {"listen": "127.0.0.1:0", "tokenFile": "token"},
	"platform": {"url": "http://127.0.0.1:7000"},
	"fleet": {"fresh": "1500ms"},
}`

func TestMinimalTakesDefaults(t *testing.T) {
	s, err := Parse([]byte(minimal))
	must.NoError(t, err)
	must.Eq(t, config.Duration(1500*time.Millisecond), s.Fleet.MaxConfigAge)
	must.Eq(t, 64, s.Fleet.Shards)
}

func TestAllInvalidFieldsAreReported(t *testing.T) {
	_, err := Parse([]byte(`{"callers": {"listen": "localhost:80", "holdBytes": 1}, "fleet": {"shards": 0}, "log": {"level": "loud"}}`))
	must.Error(t, err)
	for _, field := range []string{"dataCentre", "callers.listen", "peers.secretFile", "callers.holdBytes", "fleet.shards", "log.level", "platform.url"} {
		must.StrContains(t, err.Error(), field)
	}
}

func TestUnknownFieldIsRefused(t *testing.T) {
	_, err := Parse([]byte(`{"dataCenter": "x"}`))
	must.ErrorContains(t, err, "dataCenter")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"fleet": {"fresh": "-1s"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			must.NoError(t, s.Check())
		}
	})
}
