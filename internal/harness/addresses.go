package harness

import (
	"bufio"
	"io"
	"net/netip"
	"strings"
	"sync"
)

// parseListening parses a line of the form "listening WHAT IP:PORT".
func parseListening(line string) (what, address string, ok bool) {
	fields := strings.Fields(line)
	if len(fields) != 3 || fields[0] != "listening" {
		return "", "", false
	}
	if _, err := netip.ParseAddrPort(fields[2]); err != nil {
		return "", "", false
	}
	return fields[1], fields[2], true
}

// addresses holds the listen addresses that a process has printed so far.
type addresses struct {
	mu    sync.Mutex
	known map[string]string
	// changed is closed and replaced whenever an address is set.
	changed chan struct{}
}

func newAddresses() *addresses {
	return &addresses{known: map[string]string{}, changed: make(chan struct{})}
}

func (a *addresses) get(what string) (address string, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[what], a.changed
}

func (a *addresses) set(what, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known[what] = address
	close(a.changed)
	a.changed = make(chan struct{})
}

// consume records the addresses in r and reads r to its end, also after a
// line that is too long for the scanner: a process blocks on writing to a full
// pipe.
func (a *addresses) consume(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if what, address, ok := parseListening(lines.Text()); ok {
			a.set(what, address)
		}
	}
	_, _ = io.Copy(io.Discard, r)
}
