package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newPicker() *Picker {
	return NewPicker(DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
}

func servers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s%02d", i), Slots: 2, Weight: 1}
	}
	return list
}

func TestPickSkipsUnusableServers(t *testing.T) {
	p := newPicker()
	list := servers(4)
	list[0].Leaving = true
	list[1].Ejected = true
	for range 100 {
		id, ok := p.Pick(0, "a", list, Options{Exclude: []string{"s02"}})
		must.True(t, ok)
		must.Eq(t, "s03", id)
	}
	_, ok := p.Pick(0, "a", list, Options{Exclude: []string{"s02", "s03"}})
	must.False(t, ok)
}

func TestAvoidSuspects(t *testing.T) {
	p := newPicker()
	list := servers(3)
	list[0].Weight = 0.3
	list[1].Weight = 0.3
	for range 100 {
		id, _ := p.Pick(0, "a", list, Options{AvoidSuspects: true})
		must.Eq(t, "s02", id)
	}
	list[2].Weight = 0.3
	_, ok := p.Pick(0, "a", list, Options{AvoidSuspects: true})
	must.True(t, ok)
}

func share(p *Picker, now time.Duration, list []Server, id string) float64 {
	const n = 4000
	got := 0
	for range n {
		if s, _ := p.Pick(now, "a", list, Options{}); s == id {
			got++
		}
	}
	return float64(got) / n
}

// A new or readmitted server has cold caches. With its full share of the requests
// at once, it would fail and be ejected again.
func TestRampOfNewAndReadmittedServers(t *testing.T) {
	p := newPicker()
	list := servers(4)
	must.Between(t, 0.2, share(p, 0, list, "s00"), 0.3)
	list[0].Ejected = true
	must.Eq(t, 0, share(p, time.Second, list, "s00"))
	list[0].Ejected = false
	must.Between(t, 0.001, share(p, 2*time.Second, list, "s00"), 0.05)
	must.Between(t, 0.2, share(p, 13*time.Second, list, "s00"), 0.3)
	list = append(list, Server{ID: "new", Slots: 2, Weight: 1})
	must.Between(t, 0.001, share(p, 14*time.Second, list, "new"), 0.05)
}

// With 2,000 instances and 60 servers for each service, no server may get more than
// 300 connections, and a change of one server or of the number of instances may move
// only a few connections.
func TestSubsetBoundsConnections(t *testing.T) {
	const instances, size, maxConnections = 2000, 60, 300
	ids := make([]string, size)
	for service := range 4 {
		for i := range ids {
			ids[i] = fmt.Sprintf("svc%d-%d", service, i)
		}
		connections := map[string]int{}
		for i := range instances {
			subset := Subset(fmt.Sprint("inst", i), instances, ids, maxConnections)
			for _, s := range subset {
				connections[s]++
			}
			if i%8 != 0 {
				continue
			}
			must.Eq(t, subset, Subset(fmt.Sprint("inst", i), instances-40, ids, maxConnections))
			without := Subset(fmt.Sprint("inst", i), instances, ids[1:], maxConnections)
			must.LessEq(t, 1, added(subset, without))
		}
		for s, n := range connections {
			must.LessEq(t, maxConnections, n, must.Sprint(s))
		}
	}
}

func added(before, after []string) int {
	had := map[string]bool{}
	for _, s := range before {
		had[s] = true
	}
	n := 0
	for _, s := range after {
		if !had[s] {
			n++
		}
	}
	return n
}
