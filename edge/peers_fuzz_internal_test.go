package edge

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/relay"
)

// Guards against a process that ends by a datagram that no instance would send.
func FuzzHandleDatagram(f *testing.F) {
	m := evidence.Message{
		Source: 0x0a000001, Epoch: 7, Sequence: 9, Announcement: &evidence.Announcement{DataCentre: "dc", SlowLink: true}, Leaving: true,
		Members:         []evidence.Member{{ID: 1, DataCentre: "dc", SlowLink: true}},
		Attempts:        []evidence.Attempt{{Server: 3, Outstanding: 2, Ended: true, Result: health.Incomplete, RequestOutcome: evidence.RequestUnserved}},
		Usage:           []evidence.Usage{{Workspace: 4, Count: 1 << 40}},
		TableUpdates:    []evidence.TableUpdate{{Table: evidence.Servers, Since: 1, Version: 2, StoreClockUS: 3, Packed: []byte("rows"), More: true}},
		Unserved:        []evidence.Unserved{{Service: 5, NotAdmitted: 2}},
		ServiceAttempts: []evidence.ServiceAttempts{{Service: 6, Requests: 7, Retries: 8}},
		SuspectRequests: []evidence.SuspectRequest{{Fingerprint: 9, Served: true, Ends: []evidence.ServerEnd{{Run: 11, AgeMS: 12}}}},
	}
	b, err := evidence.Encode(m)
	must.NoError(f, err)
	for kind := relay.Deliver; kind <= relay.Join; kind++ {
		f.Add(byte(kind), b)
	}
	e := newIdleInstance(f)
	// Nothing is sent to the addresses in the datagrams.
	must.NoError(f, e.socket.Close())
	from := netip.MustParseAddrPort("127.0.0.2:1")
	f.Fuzz(func(_ *testing.T, kind byte, messages []byte) {
		e.handleDatagram(from, (&relay.Datagram{Kind: relay.Kind(kind), Messages: messages}).Encode())
		e.mu.Lock()
		defer e.mu.Unlock()
		e.tick(e.now())
	})
}
