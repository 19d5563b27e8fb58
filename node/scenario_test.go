package node

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/membership"
)

const (
	rate  = 20.0
	burst = 12.0
	key   = "fsk_a"
)

// newSettledFleet returns a fleet with one service, one workspace and settled parts.
func newSettledFleet(seed uint64, entries, servers int) *fleet {
	f := newFleet(seed, entries, servers)
	f.configure()
	f.advance(12 * time.Second)
	return f
}

// configure writes one service, one plan and one workspace with its key.
func (f *fleet) configure() {
	f.putRow(config.ServicePrefix+"orders", config.Service{Floor: 1, Timeout: config.Duration(2 * time.Second), Routes: []config.Route{{Prefix: "/orders/"}}})
	f.putRow(config.PlanPrefix+"p", config.Plan{Services: map[string]config.Limit{"orders": {Rate: rate, Burst: burst}}})
	f.putRow(config.WorkspacePrefix+"a", config.Workspace{Plan: "p"})
	f.putRow(config.APIKeyPrefix+config.HashKey(key).String(), config.APIKey{Workspace: "a"})
	f.putRow(config.ListsKey, config.ListsVersion{Version: 1})
}

func get() RequestArrived {
	return RequestArrived{Method: http.MethodGet, Path: "/orders/1", Held: true}
}

func post(operation string) RequestArrived {
	return RequestArrived{Method: http.MethodPost, Path: "/orders/", Operation: operation}
}

func TestServesWhenSettled(t *testing.T) {
	f := newSettledFleet(1, 5, 3)
	ids := map[string]string{}
	for _, name := range f.names {
		ids[name] = f.sendRequest(name, key, get())
	}
	f.advance(time.Second)
	for name, id := range ids {
		must.Eq(t, "served", f.answers[id].outcome, must.Sprint(name, f.answers[id]))
	}
}

// A workspace is over its rate. The status shows what is left here, and that it
// fills again.
func TestStatusShowsTokens(t *testing.T) {
	f := newSettledFleet(12, 1, 3)
	for range 3 * int(burst) {
		f.sendRequest(f.names[0], key, get())
	}
	n := f.nodes[f.names[0]]
	empty := n.node.Status(n.local(f.now)).RateRefusals
	must.Len(t, 1, empty)
	must.Less(t, 1, empty[0].Tokens)
	must.Positive(t, empty[0].Count)
	f.advance(time.Minute)
	must.Eq(t, burst, n.node.Status(n.local(f.now)).RateRefusals[0].Tokens)
}

// An operator withdraws a key. Its caller keeps flooding every instance on
// connections that are open, while instances hear late or not at all. Within
// three seconds nobody serves it any more, whoever is cut off or frozen.
func TestWithdrawnKeyStops(t *testing.T) {
	for seed := range uint64(20) {
		f := newSettledFleet(seed, 5, 3)
		f.partition(f.names[seed%5], seed%2 == 0, seed%3 == 0, 20*time.Second)
		f.freeze(f.names[(seed+1)%5])
		f.after(time.Duration(seed)*500*time.Millisecond, func() { f.thaw(f.names[(seed+1)%5]) })
		f.advance(time.Second)
		withdrawn := f.now
		f.deleteRow(config.APIKeyPrefix + config.HashKey(key).String())
		generateLoad(f, 15*time.Second)
		for _, s := range f.starts {
			must.LessEq(t, withdrawn+3*time.Second, s.at, must.Sprint("seed ", seed))
		}
	}
}

// A key is withdrawn while a lookup waits for its first answer, with a
// timeout of a minute. The server then breaks off. The lookup is not sent to
// another server under the key that was withdrawn long before.
func TestWithdrawnKeyIsNotRetried(t *testing.T) {
	f := newSettledFleet(7, 3, 3)
	f.putRow(config.ServicePrefix+"orders", config.Service{Floor: 1, Timeout: config.Duration(time.Minute), Routes: []config.Route{{Prefix: "/orders/"}}})
	for _, s := range f.servers {
		s.mode, s.latency = "half", 20*time.Second
	}
	f.advance(3 * time.Second)
	id := f.sendRequest(f.names[0], key, get())
	f.advance(10 * time.Millisecond)
	f.deleteRow(config.APIKeyPrefix + config.HashKey(key).String())
	sent := len(f.executed)
	f.advance(4 * time.Second)
	hedged := len(f.executed)
	f.advance(time.Minute)
	must.Eq(t, hedged, len(f.executed), must.Sprint(sent, f.executed))
	must.Eq(t, "unknown", f.answers[id].outcome)
}

// The platform is away for three hours. Everybody keeps serving on the last
// accepted configuration, confirmed by the witnesses, and orders can still be
// placed by the advised way.
func TestPlatformAwayForHours(t *testing.T) {
	f := newSettledFleet(3, 5, 3)
	f.platformDown = true
	for range 3 {
		f.advance(time.Hour)
		for _, name := range f.names {
			must.Eq(t, membership.ConfirmedByWitnesses, f.nodes[name].node.member.Confirmation(f.nodes[name].local(f.now)).State)
			operation := f.operationKey(name, key)
			id := f.sendRequest(f.names[0], key, post(operation))
			f.advance(time.Second)
			must.Eq(t, "served", f.answers[id].outcome, must.Sprint(f.answers[id]))
		}
	}
}

// An instance starts while the platform is away. It gets the configuration
// and the list from a seed, is confirmed by witnesses, and serves; one whose
// seeds are all gone refuses as not run rather than serve on nothing.
func TestStartWhilePlatformIsAway(t *testing.T) {
	f := newSettledFleet(6, 5, 3)
	f.platformDown = true
	f.advance(10 * time.Second)
	f.seeds = []string{"gone", f.names[2]}
	f.start("late", 1)
	f.seeds = []string{"gone"}
	f.start("lost", 2)
	f.advance(3 * time.Second)
	served, refused := f.sendRequest("late", key, get()), f.sendRequest("lost", key, get())
	f.advance(time.Second)
	must.Eq(t, "served", f.answers[served].outcome, must.Sprint(f.answers[served]))
	must.Eq(t, "not-run", f.answers[refused].outcome)
	must.Eq(t, "cut-off", f.answers[refused].rule)
}

// A large photo is put, and the server is late. Its body is on its way and
// can't be read twice at the same time, so there is no second copy; the one for
// a lookup goes out.
func TestHedgeNeedsAHeldBody(t *testing.T) {
	for held, executions := range map[bool]int{false: 1, true: 2} {
		f := newSettledFleet(10, 3, 3)
		for range 40 { // teaches the instance how long answers take
			f.sendRequest(f.names[0], key, get())
			f.advance(60 * time.Millisecond)
		}
		for _, s := range f.servers {
			s.latency = 1500 * time.Millisecond
		}
		before := len(f.executed)
		f.sendRequest(f.names[0], key, RequestArrived{Method: http.MethodPut, Path: "/orders/1", Held: held})
		f.advance(2 * time.Second)
		must.Eq(t, executions, len(f.executed)-before, must.Sprint("held ", held))
	}
}

// One instance's own network fails towards all backend servers. Callers of
// several workspaces meet failures there and nowhere else. The others stop
// naming it, eject no server for it, and name it again later.
func TestInstanceWithBadNetworkIsNotNamed(t *testing.T) {
	f := newSettledFleet(11, 5, 4)
	keys := []string{key, "fsk_b", "fsk_c", "fsk_d"}
	for _, k := range keys[1:] {
		f.putRow(config.WorkspacePrefix+k, config.Workspace{Plan: "p"})
		f.putRow(config.APIKeyPrefix+config.HashKey(k).String(), config.APIKey{Workspace: k})
	}
	bad := f.names[0]
	for id := range f.servers {
		f.cut[bad+">"+id] = true
	}
	named := func() bool {
		f.operationKey(f.names[1], key)
		return slices.Contains(f.located["l"+strconv.Itoa(f.requests)].Addresses, bad)
	}
	f.advance(5 * time.Second)
	must.True(t, named())
	for i := 0; named() && i < 2000; i++ {
		f.sendRequest(f.names[i%5], keys[i%4], get())
		f.advance(20 * time.Millisecond)
	}
	must.False(t, named())
	must.SliceEmpty(t, f.nodes[f.names[1]].node.replica.Permits("orders").Ejected)
	f.advance(unadvertisedFor + 5*time.Second)
	must.True(t, named())
}

// A backend server sends half answers from one moment on. The instance that has
// it ejected says how long that took since the first one reported.
func TestDetectionIsTimed(t *testing.T) {
	f := newSettledFleet(13, 5, 4)
	for i := range 50 {
		f.sendRequest(f.names[i%5], key, get())
		f.advance(60 * time.Millisecond)
	}
	f.servers["s0"].mode = "half"
	began := f.now
	for i := 0; len(f.noted) == 0 && i < 1000; i++ {
		f.sendRequest(f.names[i%5], key, get())
		f.advance(60 * time.Millisecond)
	}
	must.Len(t, 1, f.noted)
	must.Eq(t, "s0", f.noted[0].Subject)
	must.Between(t, 1, f.noted[0].Took, f.now-began)
}

// A backend server drains, and the platform's list doesn't show it. It refuses
// as not run; the requests go elsewhere, and each instance tries it once only.
func TestServerThatLeavesIsLeftAlone(t *testing.T) {
	f := newSettledFleet(8, 3, 4)
	f.servers["s0"].mode = "leaving"
	for i := range 200 {
		id := f.sendRequest(f.names[i%3], key, post(""))
		f.advance(60 * time.Millisecond)
		must.Eq(t, "served", f.answers[id].outcome)
	}
	must.Between(t, 1, f.servers["s0"].refused, 3)
}

// The fleet has just started, and no instance holds parts of any limit yet. A
// caller is refused, but not told that its workspace has used its rate up.
func TestColdStartIsNotOverRate(t *testing.T) {
	f := newFleet(9, 3, 3)
	f.configure()
	f.advance(1500 * time.Millisecond)
	id := f.sendRequest(f.names[0], key, get())
	f.advance(time.Second)
	must.Eq(t, "peer-unreachable", f.answers[id].rule)
	must.Eq(t, "not-run", f.answers[id].outcome)
}

// A holder of parts is killed while its workspace uses half of its rate.
// Refusals inside the rate end when the parts have moved.
func TestKilledHolder(t *testing.T) {
	f := newSettledFleet(4, 5, 3)
	f.kill(f.names[0])
	f.advance(15 * time.Second)
	refused := 0
	for i := range 100 {
		id := f.sendRequest(f.names[1+i%4], key, get())
		f.advance(time.Duration(math.Round(2 * float64(time.Second) / rate)))
		if f.answers[id].outcome != "served" {
			refused++
		}
	}
	must.Eq(t, 0, refused)
}
