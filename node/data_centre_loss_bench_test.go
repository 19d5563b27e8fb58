package node

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// BenchmarkDataCentreLost measures the control table writes (shards, witnesses)
// after the loss of one of 17 data centres: the number of rows, the maximum
// rate, and the time until the last write. Every shard has six holders. Run it
// with -benchtime 1x.
func BenchmarkDataCentreLost(b *testing.B) {
	for _, size := range []int{34, 68, 136} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for range b.N {
				f := newWideFleet(size)
				f.advance(40 * time.Second)
				rows, most, last := f.loseDataCentre()
				b.ReportMetric(float64(rows), "rows")
				b.ReportMetric(float64(most), "rows/s(max)")
				b.ReportMetric(last.Seconds(), "s")
			}
		})
	}
}

const wideDataCentres = 17

func newWideFleet(size int) *fleet {
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
	s.Self = storage.Instance{ID: name, Kind: storage.Entry, DataCentre: "dc" + strconv.Itoa(i%wideDataCentres), Address: name, PeerAddress: name, State: storage.Live}
	s.Secret = []byte("secret of " + name)
	s.Seed = uint64(i)
	f.announce(s.Self)
	n := &instance{node: New(s), name: name, startedAt: f.now, rate: 1, wakeAt: never}
	f.nodes[name] = n
	f.names = append(f.names, name)
	f.step(n, Wake{})
}

// loseDataCentre kills all instances of a data centre; the platform lists them as
// ended three seconds later. It returns the number of rows written, the maximum
// per second, and the time of the last write, counted from the list's change.
func (f *fleet) loseDataCentre() (rows, most int, last time.Duration) {
	for i, name := range f.names {
		if i%wideDataCentres == 0 {
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

// controlWrites returns the number of control table writes so far.
func (f *fleet) controlWrites() int { return int(f.tables[storage.Control].revision) }
