package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/storage"
)

// workspaceCounts are the table sizes from which docs/CAPACITY.md derives the
// memory per row; the last is the target size.
var workspaceCounts = []int{5_000, 20_000, 55_000}

func workspaceRow(i int) storage.Row {
	return row(fmt.Sprintf("%sworkspace-%06d", WorkspacePrefix, i), Workspace{Plan: fmt.Sprintf("plan-%02d", i%40)}, i)
}

func keyRow(i int) storage.Row {
	h := HashKey(fmt.Sprint("fsk_", i))
	return row(APIKeyPrefix+h.String(), APIKey{Workspace: fmt.Sprintf("workspace-%06d", i), Label: fmt.Sprintf("till-%d", i%5)}, i)
}

// serviceRow returns a service with 20 routes, so that 560 services have about the
// target of 11,000 routes.
func serviceRow(i int) storage.Row {
	s := Service{Floor: 20, Timeout: Duration(2e9)}
	for n := range 20 {
		s.Routes = append(s.Routes, Route{Prefix: fmt.Sprintf("/service-%03d/part-%02d/", i, n)})
	}
	return row(fmt.Sprintf("%sservice-%03d", ServicePrefix, i), s, i)
}

func row(key string, v any, i int) storage.Row {
	value, _ := json.Marshal(v)
	return storage.Row{Key: key, Value: value, Revision: storage.Revision(i + 1), Attempt: fmt.Sprintf("8c5e0d4a-0000-4000-8000-%012d", i)}
}

func fullTable(n int, f func(int) storage.Row) storage.Changes {
	c := storage.Changes{Revision: storage.Revision(n + 1), Full: true}
	for i := range n {
		c.Rows = append(c.Rows, f(i))
	}
	return c
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkReplicaBytes reports the memory per row in a replica.
// Run it with -benchtime 1x.
func BenchmarkReplicaBytes(b *testing.B) {
	for _, kind := range []struct {
		name   string
		row    func(int) storage.Row
		perRow int
		sizes  []int
	}{
		{"workspace", workspaceRow, 1, workspaceCounts},
		{"key", keyRow, 1, workspaceCounts},
		{"route", serviceRow, 20, []int{50, 200, 560}},
	} {
		for _, n := range kind.sizes {
			b.Run(fmt.Sprintf("%s/%d", kind.name, n*kind.perRow), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					r := NewReplica()
					must.True(b, r.Apply(fullTable(n, kind.row)))
					b.ReportMetric(float64(heapBytes()-before)/float64(n*kind.perRow), "B/"+kind.name)
					runtime.KeepAlive(r)
				}
			})
		}
	}
}

// targetReplica returns a replica of the target size: 55,000 workspaces with an
// API key each and 11,200 routes.
func targetReplica(tb testing.TB) *Replica {
	tb.Helper()
	r := NewReplica()
	c := storage.Changes{Revision: 200_000, Full: true}
	for i := range 55_000 {
		c.Rows = append(c.Rows, workspaceRow(i), keyRow(i))
	}
	for i := range 560 {
		c.Rows = append(c.Rows, serviceRow(i))
	}
	must.True(tb, r.Apply(c))
	return r
}

func BenchmarkTargetSize(b *testing.B) {
	before := heapBytes()
	r := targetReplica(b)
	b.Run("bytes", func(b *testing.B) {
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
	})
	b.Run("route", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			_, _, ok := r.Route(fmt.Sprintf("/service-%03d/part-%02d/item/7", i%560, i%20))
			must.True(b, ok)
		}
	})
	b.Run("noRoute", func(b *testing.B) {
		for b.Loop() {
			_, _, ok := r.Route("/nothing/of/the/kind/is/there")
			must.False(b, ok)
		}
	})
	b.Run("workspaceByKey", func(b *testing.B) {
		h := HashKey("fsk_77")
		for b.Loop() {
			_, ok := r.WorkspaceByKey(h)
			must.True(b, ok)
		}
	})
	b.Run("sinceUnchanged", func(b *testing.B) {
		for b.Loop() {
			must.Len(b, 0, r.Since(200_000).Rows)
		}
	})
	b.Run("rows", func(b *testing.B) {
		for b.Loop() {
			must.Len(b, 55_000, r.RowKeys(WorkspacePrefix))
		}
	})
	b.Run("workspaces", func(b *testing.B) {
		for b.Loop() {
			n := 0
			for range r.Workspaces() {
				n++
			}
			must.Eq(b, 55_000, n)
		}
	})
	b.Run("sinceAll", func(b *testing.B) {
		for b.Loop() {
			must.Len(b, 110_560, r.Since(0).Rows)
		}
	})
	b.Run("applyAll", func(b *testing.B) {
		c := r.Since(0)
		for b.Loop() {
			must.True(b, NewReplica().Apply(c))
		}
	})
	revision := storage.Revision(200_000)
	b.Run("applyAllAgain", func(b *testing.B) {
		c := r.Since(0)
		for b.Loop() {
			revision++
			c.Revision = revision
			must.True(b, r.Apply(c))
		}
	})
	b.Run("applyWorkspace", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			revision++
			w := workspaceRow(i % 55_000)
			w.Revision = revision
			must.True(b, r.Apply(storage.Changes{Revision: revision, Rows: []storage.Row{w}}))
		}
	})
	b.Run("applyServiceAndSince", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			since := revision
			revision++
			s := serviceRow(i % 560)
			s.Revision = revision
			must.True(b, r.Apply(storage.Changes{Revision: revision, Rows: []storage.Row{s}}))
			must.Len(b, 1, r.Since(since).Rows)
		}
	})
}
