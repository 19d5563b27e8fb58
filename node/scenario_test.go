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

// newSettledFleet returns a fleet with one service and one workspace, whose parts
// have been assigned and are in force.
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

// Status must report the tokens that a workspace over its rate has left on the
// instance, and that the bucket refills.
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

// A withdrawn key must be refused by every instance within three seconds, while
// its caller keeps sending on open connections and while some instances are
// partitioned or frozen, so that they learn of the withdrawal late or never.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	for seed := range uint64(20) {
		f := newSettledFleet(seed, 5, 3)
		f.partition(f.names[seed%5], seed%2 == 0, seed%3 == 0, 20*time.Second)
		f.freeze(f.names[(seed+1)%5])
		f.after(time.Duration(seed)*500*time.Millisecond, func() { f.thaw(f.names[(seed+1)%5]) })
		f.advance(time.Second)
		withdrawn := f.now
		f.deleteRow(config.APIKeyPrefix + config.HashKey(key).String())
		generateLoad(f, 15*time.Second)
		for _, s := range f.firstAttempts {
			must.LessEq(t, withdrawn+3*time.Second, s.at, must.Sprint("seed ", seed))
		}
	}
}

// A key is withdrawn while a lookup with a timeout of one minute waits for its
// first answer, and the server then breaks off. The lookup must not be retried
// on another server under the withdrawn key.
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

// The platform is unavailable for three hours. All instances must keep serving
// with the last accepted configuration, confirmed by the witnesses, and orders
// with an operation key from locate must be accepted.
func TestPlatformUnavailableForHours(t *testing.T) {
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

// An instance that starts while the platform is unavailable must get the
// configuration and the instance list from a seed, be confirmed by witnesses, and
// serve. An instance whose seeds are all gone must refuse requests as not run
// instead of serving without a configuration.
func TestStartWhilePlatformIsUnavailable(t *testing.T) {
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

// A request whose body is streamed can't be hedged, because the body can't be
// read twice at the same time. A slow server must cause a second attempt only
// for a request whose body is held.
func TestHedgeNeedsHeldBody(t *testing.T) {
	for held, executions := range map[bool]int{false: 1, true: 2} {
		f := newSettledFleet(10, 3, 3)
		for range 40 { // gives the instance latency samples
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

// The network of one instance fails towards all backend servers, and callers of
// several workspaces see failures only there. The other instances must leave it
// out of the answers to locate, eject no server because of it, and include it
// again later.
func TestInstanceWithBadNetworkIsNotAdvertised(t *testing.T) {
	f := newSettledFleet(11, 5, 4)
	keys := []string{key, "fsk_b", "fsk_c", "fsk_d"}
	for _, k := range keys[1:] {
		f.putRow(config.WorkspacePrefix+k, config.Workspace{Plan: "p"})
		f.putRow(config.APIKeyPrefix+config.HashKey(k).String(), config.APIKey{Workspace: k})
	}
	bad := f.names[0]
	for id := range f.servers {
		f.blocked[bad+">"+id] = true
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
	f.advance(unadvertisedPeriod + 5*time.Second)
	must.True(t, named())
}

// A backend server starts to send incomplete answers. The note on its ejection
// must give the time since the first report of a failure.
func TestDetectionIsTimed(t *testing.T) {
	f := newSettledFleet(13, 5, 4)
	for i := range 50 {
		f.sendRequest(f.names[i%5], key, get())
		f.advance(60 * time.Millisecond)
	}
	f.servers["s0"].mode = "half"
	began := f.now
	for i := 0; len(f.detections) == 0 && i < 1000; i++ {
		f.sendRequest(f.names[i%5], key, get())
		f.advance(60 * time.Millisecond)
	}
	must.Len(t, 1, f.detections)
	must.Eq(t, "s0", f.detections[0].Subject)
	must.Between(t, 1, f.detections[0].Took, f.now-began)
}

// A backend server is leaving, but the platform's list doesn't show it. It
// refuses requests as not run. They must be served elsewhere, and each instance
// may try that server only once.
func TestLeavingServerIsNotRetried(t *testing.T) {
	f := newSettledFleet(8, 3, 4)
	f.servers["s0"].mode = "leaving"
	for i := range 200 {
		id := f.sendRequest(f.names[i%3], key, post(""))
		f.advance(60 * time.Millisecond)
		must.Eq(t, "served", f.answers[id].outcome)
	}
	must.Between(t, 1, f.servers["s0"].refused, 3)
}

// On a cold start no instance holds parts of any limit yet. A caller must be
// refused, but not with the answer that its workspace has exceeded its rate. Once
// the first rows are known, it must be served.
func TestColdStartIsNotOverRate(t *testing.T) {
	refused := reply{outcome: "not-run", rule: "peer-unreachable"}
	served := reply{outcome: "served"}
	for delay, want := range map[time.Duration]reply{
		100 * time.Millisecond: refused, 400 * time.Millisecond: refused, 700 * time.Millisecond: served, 1500 * time.Millisecond: served,
	} {
		f := newFleet(9, 3, 3)
		f.configure()
		f.advance(delay)
		id := f.sendRequest(f.names[0], key, get())
		f.advance(time.Second)
		must.Eq(t, want.rule, f.answers[id].rule, must.Sprint(delay))
		must.Eq(t, want.outcome, f.answers[id].outcome, must.Sprint(delay))
	}
}

// A holder of parts is killed while its workspace uses half of its rate. Requests
// within the rate must not be refused once the parts have moved.
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
