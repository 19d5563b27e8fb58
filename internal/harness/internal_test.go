package harness

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseListening checks that every accepted address is valid and that
// other output is ignored.
func FuzzParseListening(f *testing.F) {
	for _, line := range []string{
		"listening platform 127.0.0.1:80", "listening control [::1]:0", "listening x nowhere",
		"listening x 127.0.0.1:99999", " listening x y 127.0.0.1:80", "Listening x 127.0.0.1:80", "",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		what, address, ok := parseListening(line)
		if !ok {
			must.Eq(t, "", what+address)
			return
		}
		must.StrHasPrefix(t, "listening", strings.TrimSpace(line))
		must.StrContains(t, line, what)
		_, err := netip.ParseAddrPort(address)
		must.NoError(t, err)
	})
}

func TestLogRetainsLatestOutput(t *testing.T) {
	l := &logBuffer{}
	for range maxLogBytes / 1000 * 2 {
		_, _ = l.Write([]byte(strings.Repeat("a", 1000)))
	}
	_, _ = l.Write([]byte("last"))
	must.StrHasSuffix(t, "alast", l.String())
	must.StrHasPrefix(t, "[earlier output dropped]", l.String())
	must.LessEq(t, maxLogBytes+100, len(l.String()))
}

// Guards against a process that blocks on a full pipe because reading stopped
// at a line too long for the scanner.
func TestOutputIsReadToItsEnd(t *testing.T) {
	r := strings.NewReader("listening a 127.0.0.1:1\n" + strings.Repeat("x", 1<<20) + "\n")
	a := newAddresses()
	a.consume(r)
	must.Zero(t, r.Len())
	address, _ := a.get("a")
	must.Eq(t, "127.0.0.1:1", address)
}
