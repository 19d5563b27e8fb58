package node

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/storage"
)

// scale is the size of a deployment. The last entry of scales is the target size.
type scale struct{ entries, targets, services, workspaces, dataCentres int }

var scales = []scale{
	{40, 50, 4, 10, 4},
	{200, 2_400, 56, 5_500, 17},
	{1_000, 12_000, 280, 27_500, 17},
	{2_000, 24_000, 560, 55_000, 17},
}

func (s scale) String() string {
	return fmt.Sprintf("entries=%d/targets=%d/services=%d/workspaces=%d", s.entries, s.targets, s.services, s.workspaces)
}

// routesPerService gives 11,200 routes for 560 services.
const routesPerService = 20

// singleNode is one real node in a fleet that otherwise exists only as table rows
// and list entries. Its reads and pulls are answered with the changes that it
// has not seen yet.
type singleNode struct {
	node     *Node
	now      time.Duration
	revision storage.Revision
	version  uint64
	rows     []storage.Row
	changed  []storage.Instance
}

func instanceID(kind string, i int) string {
	return fmt.Sprintf("%s-%04d-0000-4000-8000-%012d", kind, i, i)
}

func (s scale) entry(i int) storage.Instance {
	return storage.Instance{
		ID: instanceID("entry", i), Kind: storage.Entry, DataCentre: fmt.Sprintf("dc-%02d", i%s.dataCentres), Region: fmt.Sprintf("region-%d", i%6),
		Address: fmt.Sprintf("10.1.%d.%d:8010", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:8011", i/250, i%250),
		OperatorAddress: fmt.Sprintf("10.1.%d.%d:8012", i/250, i%250), State: storage.Live,
	}
}

func (s scale) target(i int) storage.Instance {
	return storage.Instance{
		ID: instanceID("target", i), Kind: storage.BackendServer, Service: serviceName(i % s.services), DataCentre: fmt.Sprintf("dc-%02d", i%s.dataCentres),
		Region: fmt.Sprintf("region-%d", i%6), Address: fmt.Sprintf("10.2.%d.%d:9000", i/250, i%250), Slots: 4, State: storage.Live,
	}
}

func serviceName(i int) string   { return fmt.Sprintf("service-%03d", i) }
func workspaceName(i int) string { return fmt.Sprintf("workspace-%06d", i) }

func (l *singleNode) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	l.revision++
	l.rows = append(l.rows, storage.Row{Key: key, Value: data, Revision: l.revision, Attempt: "8c5e0d4a-0000-4000-8000-000000000000"})
}

// newConfiguredNode returns a node that has the whole table and list, and holds
// all parts of every shard, all in force.
func newConfiguredNode(tb testing.TB, s scale) *singleNode {
	l := newEmptyNode(s)
	l.fillTable(s)
	l.fillList(s)
	for range 40 {
		l.advance(250 * time.Millisecond)
	}
	must.Eq(tb, l.revision, l.node.replica.Revision())
	must.Eq(tb, membership.ConfirmedByTable, l.node.reportedState)
	return l
}

func newEmptyNode(s scale) *singleNode {
	settings := DefaultSettings()
	settings.Self = s.entry(0)
	settings.Secret = []byte("a secret of thirty-two bytes, so")
	return &singleNode{node: New(settings), now: time.Second}
}

func (l *singleNode) fillTable(s scale) {
	for i := range s.workspaces {
		l.put(config.WorkspacePrefix+workspaceName(i), config.Workspace{Plan: fmt.Sprintf("plan-%02d", i%40)})
		l.put(config.APIKeyPrefix+config.HashKey(workspaceName(i)).String(), config.APIKey{Workspace: workspaceName(i), Label: "till"})
	}
	for i := range s.services {
		definition := config.Service{Floor: s.targets / s.services / 2, Timeout: config.Duration(2 * time.Second)}
		for r := range routesPerService {
			definition.Routes = append(definition.Routes, config.Route{Prefix: fmt.Sprintf("/%s/part-%02d/", serviceName(i), r)})
		}
		l.put(config.ServicePrefix+serviceName(i), definition)
	}
	for i := range 40 {
		plan := config.Plan{Services: map[string]config.Limit{}}
		for n := range min(8, s.services) {
			plan.Services[serviceName((i+n*7)%s.services)] = config.Limit{Rate: 1e6, Burst: 1e6}
		}
		l.put(config.PlanPrefix+fmt.Sprintf("plan-%02d", i), plan)
	}
	for _, name := range l.node.shards.names {
		l.put(config.ShardPrefix+name, config.Shard{Holders: []config.Holder{{Instance: l.node.settings.Self.ID, Parts: 60, Since: 1}}})
	}
	l.put(config.WitnessesKey, config.Witnesses{Members: []string{l.node.settings.Self.ID}})
	l.put(config.ListsKey, config.ListsVersion{Version: 1, Digest: "d"})
}

func (l *singleNode) fillList(s scale) {
	l.version = 1
	for i := range s.entries {
		l.changed = append(l.changed, s.entry(i))
	}
	for i := range s.targets {
		l.changed = append(l.changed, s.target(i))
	}
}

// advance moves the time forward by d with one wake and answers the node's
// effects. It returns the time spent in the wake and in handling the answers.
func (l *singleNode) advance(d time.Duration) (wake, answers time.Duration) {
	l.now += d
	start := time.Now()
	effects := slices.Clone(l.node.Step(l.now, Wake{}))
	wake = time.Since(start)
	for len(effects) > 0 {
		e := l.reply(effects[0])
		effects = effects[1:]
		if e == nil {
			continue
		}
		start = time.Now()
		more := l.node.Step(l.now, e)
		answers += time.Since(start)
		effects = append(effects, more...)
	}
	return wake, answers
}

func (l *singleNode) reply(e Effect) Event {
	switch e := e.(type) {
	case effect.ReadTable:
		return TableRead{ID: e.ID, Changes: l.changes(e.Read.Since), OK: true}
	case effect.ReadInstances:
		return InstancesRead{ID: e.ID, Changes: l.listChanges(e.Since), OK: true}
	case effect.WriteTable:
		return TableWritten{ID: e.ID, Result: storage.WriteResult{Outcome: storage.Conflict}}
	case effect.Call:
		request, _ := e.Request.(PeerRequest)
		if request.Member == nil || request.Member.Pull == nil {
			return CallEnded{ID: e.ID}
		}
		p := membership.Pulled{Changes: l.changes(request.Member.Pull.Since), List: l.listChanges(request.Member.Pull.ListSince), TableAge: time.Millisecond}
		return CallEnded{ID: e.ID, OK: true, Reply: PeerReply{Member: &membership.Reply{Pull: &p}}}
	}
	return nil
}

func (l *singleNode) changes(since storage.Revision) storage.Changes {
	c := storage.Changes{Revision: l.revision, Full: since == 0}
	if since < l.revision {
		c.Rows = l.rows
		l.rows = nil
	}
	return c
}

func (l *singleNode) listChanges(since uint64) storage.InstanceChanges {
	c := storage.InstanceChanges{Version: l.version, Full: since == 0}
	if since < l.version {
		c.Changed = l.changed
		l.changed = nil
	}
	return c
}

// request runs a caller's request to its end and reports whether it was served.
func (l *singleNode) request(i int, s scale) bool {
	id := fmt.Sprint("r", i)
	workspace := i % s.workspaces
	service := (workspace % 40) % s.services
	served := false
	effects := l.node.Step(l.now, RequestArrived{
		Request: id, Key: config.HashKey(workspaceName(workspace)), HasKey: true, Method: "GET",
		Path: fmt.Sprintf("/%s/part-%02d/item", serviceName(service), i%routesPerService),
	})
	for _, e := range slices.Clone(effects) {
		if a, ok := e.(StartAttempt); ok {
			ended := l.node.Step(l.now, AttemptEnded{Attempt: a.Attempt, Result: health.OK, Latency: 5 * time.Millisecond, Replayable: true})
			served = slices.ContainsFunc(ended, func(e Effect) bool { _, ok := e.(Relay); return ok })
		}
	}
	return served
}

// reportMicros reports the mean time per iteration of b in microseconds.
func reportMicros(b *testing.B, spent time.Duration, unit string) {
	b.ReportMetric(float64(spent.Nanoseconds())/1e3/float64(b.N), unit)
}

// BenchmarkScale measures the cost of one instance's steps by deployment size;
// docs/CAPACITY.md uses the slopes.
func BenchmarkScale(b *testing.B) {
	for _, s := range scales {
		b.Run(s.String(), func(b *testing.B) { benchmarkScale(b, s) })
	}
}

func benchmarkScale(b *testing.B, s scale) {
	l := newConfiguredNode(b, s)
	for i := range 100 {
		l.request(i, s)
	}
	b.Run("request", func(b *testing.B) {
		served := 0
		for i := range b.N {
			if i%1000 == 0 {
				b.StopTimer()
				l.advance(100 * time.Millisecond)
				b.StartTimer()
			}
			if l.request(i, s) {
				served++
			}
		}
		must.Eq(b, b.N, served)
	})
	b.Run("pullServed", func(b *testing.B) {
		pull := PeerRequest{Member: &membership.Request{Pull: &membership.Pull{Since: l.revision, ListSince: l.version}}}
		for i := range b.N {
			l.node.Step(l.now, Called{Token: uint64(i), From: "entry", Request: pull})
		}
	})
	b.Run("wakeWithNothingToDo", func(b *testing.B) {
		l.advance(time.Millisecond)
		for range b.N {
			l.node.Step(l.now, Wake{})
		}
	})
	b.Run("quarterSecond", func(b *testing.B) {
		var wakes, answers time.Duration
		for range b.N {
			wake, answer := l.advance(250 * time.Millisecond)
			wakes += wake
			answers += answer
		}
		reportMicros(b, wakes, "µs/wake")
		reportMicros(b, answers, "µs/answers")
	})
	b.Run("revision", func(b *testing.B) {
		var spent time.Duration
		for i := range b.N {
			l.put(config.WorkspacePrefix+workspaceName(i%s.workspaces), config.Workspace{Plan: "plan-01"})
			_, answers := l.advance(500 * time.Millisecond)
			spent += answers
		}
		reportMicros(b, spent, "µs/revision")
	})
	b.Run("lists", func(b *testing.B) {
		var spent time.Duration
		for i := range b.N {
			l.put(config.ListsKey, config.ListsVersion{Version: uint64(i + 2)})
			l.advance(500 * time.Millisecond)
			wake, _ := l.advance(250 * time.Millisecond)
			spent += wake
		}
		reportMicros(b, spent, "µs/lists")
	})
	b.Run("listChange", func(b *testing.B) {
		var spent, next time.Duration
		for i := range b.N {
			l.version++
			changed := s.target(i % s.targets)
			changed.Slots = 2 + i%3
			l.changed = append(l.changed, changed)
			_, answers := l.advance(time.Second)
			spent += answers
			wake, _ := l.advance(250 * time.Millisecond)
			next += wake
		}
		reportMicros(b, spent, "µs/change")
		reportMicros(b, next, "µs/nextWake")
	})
	benchmarkParts(b, l, s)
}

// benchmarkParts measures the functions called by steps and housekeeping.
func benchmarkParts(b *testing.B, l *singleNode, s scale) {
	n := l.node
	service, _ := n.replica.Service(serviceName(0))
	r := &request{service: service, workspace: config.Workspace{Name: workspaceName(0)}}
	part := func(name string, do func()) {
		b.Run("part="+name, func(b *testing.B) {
			for range b.N {
				do()
				n.effects = n.effects[:0]
			}
		})
	}
	part("servers", func() { n.serverView(r) })
	part("noticePermits", n.reportEjectionChanges)
	part("collect", n.runCollector)
	part("reportHealth", n.sendHealthReports)
	part("planShards", n.writeStaleShard)
	part("refreshShards", n.refreshShards)
	n.shards.writerRank["0"] = 0
	part("indexLimits,writer", n.indexLimits)
	part("planShards,writer", func() {
		n.writeStaleShard()
		n.shards.writing = false
	})
	part("rankShards", n.rankShardWriters)
	part("holderForget", func() { n.holder.EvictIdle(n.now) })
}

// BenchmarkScaleBytes measures the memory of an instance's list and of the whole
// node. Run it with -benchtime 1x.
func BenchmarkScaleBytes(b *testing.B) {
	for _, s := range scales[1:] {
		b.Run("list/"+s.String(), func(b *testing.B) {
			before := heapBytes()
			l := newEmptyNode(s)
			l.fillList(s)
			l.advance(time.Second)
			l.advance(time.Second)
			must.Eq(b, s.entries, len(l.node.member.Directory().Entries()))
			b.ReportMetric(float64(heapBytes()-before)/float64(s.entries+s.targets), "B/instance")
			runtime.KeepAlive(l)
		})
		b.Run("node/"+s.String(), func(b *testing.B) {
			before := heapBytes()
			l := newConfiguredNode(b, s)
			idle := heapBytes()
			b.ReportMetric(float64(idle-before)/(1<<20), "MB")
			for i := range s.workspaces {
				l.request(i, s)
				if i%1000 == 0 {
					l.advance(250 * time.Millisecond)
				}
			}
			b.ReportMetric(float64(heapBytes()-idle)/float64(s.workspaces), "B/bucket")
			runtime.KeepAlive(l)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
