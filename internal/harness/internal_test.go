package harness

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseListening checks that what is taken for an address is one, and
// that other output of a process is passed over.
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

func TestLogKeepsTheLatest(t *testing.T) {
	l := &log{}
	for range maxLog / 1000 * 2 {
		_, _ = l.Write([]byte(strings.Repeat("a", 1000)))
	}
	_, _ = l.Write([]byte("last"))
	must.StrHasSuffix(t, "alast", l.String())
	must.StrHasPrefix(t, "[earlier output dropped]", l.String())
	must.LessEq(t, maxLog+100, len(l.String()))
}

// A process prints a line that is too long to be an address. What it prints
// later must still be read, or it would stop at a full pipe.
func TestOutputIsReadToItsEnd(t *testing.T) {
	r := strings.NewReader("listening a 127.0.0.1:1\n" + strings.Repeat("x", 1<<20) + "\n")
	a := newAddresses()
	a.read(r)
	must.Zero(t, r.Len())
	address, _ := a.get("a")
	must.Eq(t, "127.0.0.1:1", address)
}
