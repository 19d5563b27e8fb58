package node

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// BenchmarkDataCentreLost reports the writes after one of 17 data centres is
// gone: how many rows of the control table (shards, witnesses), how fast at
// most, and how long until the last one. Every shard has six holders. Run it with -benchtime 1x.
func BenchmarkDataCentreLost(b *testing.B) {
	for _, size := range []int{34, 68, 136} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for range b.N {
				f := wideFleet(size)
				f.advance(40 * time.Second)
				rows, most, last := f.loseCentre()
				b.ReportMetric(float64(rows), "rows")
				b.ReportMetric(float64(most), "rows/s(max)")
				b.ReportMetric(last.Seconds(), "s")
			}
		})
	}
}

const wideCentres = 17

func wideFleet(size int) *fleet {
	f := newFleet(1, 0, 1)
	f.putRow(config.PlanPrefix+"p", config.Plan{Services: map[string]config.Limit{"orders": {Rate: 1000, Burst: 1000}}})
	f.putRow(config.ServicePrefix+"orders", config.Service{Routes: []config.Route{{Prefix: "/o/"}}})
	for i := range 600 {
		f.putRow(config.WorkspacePrefix+workspaceName(i), config.Workspace{Plan: "p"})
	}
	f.putRow(config.ListsKey, config.ListsVersion{Version: 1})
	for i := range size {
		f.startWide(i)
	}
	return f
}

// startWide starts a node with the default number of shards.
func (f *fleet) startWide(i int) {
	name := fmt.Sprintf("n%03d", i)
	s := DefaultSettings()
	s.Self = storage.Instance{ID: name, Kind: storage.Entry, DataCentre: "dc" + strconv.Itoa(i%wideCentres), Address: name, PeerAddress: name, State: storage.Live}
	s.Secret = []byte("secret of " + name)
	s.Seed = uint64(i)
	f.announce(s.Self)
	n := &instance{node: New(s), name: name, begin: f.now, rate: 1, wakeAt: never}
	f.nodes[name] = n
	f.names = append(f.names, name)
	f.step(n, Wake{})
}

// loseCentre kills a data centre; the platform lists its instances as ended
// three seconds later. It returns the rows that were written, the
// most of them in a second, and when the last one was written, counted from
// the list's change.
func (f *fleet) loseCentre() (rows, most int, last time.Duration) {
	for i, name := range f.names {
		if i%wideCentres == 0 {
			f.kill(name)
		}
	}
	f.advance(3 * time.Second)
	for at := time.Duration(0); at < 30*time.Second; at += time.Second {
		before := f.controlWrites()
		f.advance(time.Second)
		written := f.controlWrites() - before
		rows += written
		most = max(most, written)
		if written > 0 {
			last = at + time.Second
		}
	}
	return rows, most, last
}

// controlWrites counts the writes of the control table so far.
func (f *fleet) controlWrites() int { return int(f.tables[storage.Control].revision) }
