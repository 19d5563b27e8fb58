package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// arrivals returns the times of requests that are all inside the limit: a
// steady stream at six tenths of the rate, and now and then a whole burst.
func arrivals(rng *rand.Rand, l config.Limit, length time.Duration) []time.Duration {
	inside := tokenBucket{tokens: l.Burst}
	var times []time.Duration
	nextBurst := 5 * time.Second
	for now := time.Duration(0); now < length; {
		gap := rng.ExpFloat64() / (0.6 * l.Rate)
		now += time.Duration(gap * float64(time.Second))
		n := 1
		if now >= nextBurst {
			n = int(l.Burst)
			nextBurst = now + time.Duration((1+rng.Float64())*2*l.Burst/l.Rate*float64(time.Second))
		}
		for range n {
			now += time.Duration(rng.Int64N(int64(2 * time.Millisecond)))
			if inside.take(now, l.Rate, l.Burst, 1) {
				times = append(times, now)
			}
		}
	}
	return times
}

// scenario says where requests land and what fails.
type scenario struct {
	name  string
	limit config.Limit
	// pick chooses among n instances.
	pick func(rng *rand.Rand, n int, s scheme) int
	// killed ends an instance that holds parts, for the schemes that have
	// such; away makes the table unreachable for forty seconds.
	killed, away bool
	// leaves has a holder stop as planned; drains, with SetGrantsUntil.
	leaves, drains bool
}

func anywhere(rng *rand.Rand, n int, _ scheme) int { return rng.IntN(n) }

func singleHolder(_ *rand.Rand, _ int, s scheme) int {
	if p, ok := s.(*partsScheme); ok {
		return p.holder(true)
	}
	return 1
}

func singleNonHolder(_ *rand.Rand, _ int, s scheme) int {
	if p, ok := s.(*partsScheme); ok {
		return p.holder(false)
	}
	return 1
}

// outcome is what one scheme did in one scenario.
type outcome struct {
	offered, refused int
	operations       float64
	messages         float64
}

func (sc scenario) run(build func(config.Limit, int) scheme, seed uint64) outcome {
	const instances = 36
	const length = 60 * time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	s := build(sc.limit, instances)
	gone := -1
	o := outcome{}
	for _, now := range arrivals(rng, sc.limit, length) {
		if sc.killed && gone < 0 && now >= 15*time.Second {
			gone = singleHolder(rng, instances, s)
			s.kill(now, gone)
		}
		if p, ok := s.(*partsScheme); ok && sc.leaves && gone < 0 && now >= 15*time.Second {
			gone = p.holder(true)
			p.leave(now, gone, sc.drains)
		}
		s.setTableUnreachable(sc.away && now >= 10*time.Second && now < 50*time.Second)
		i := sc.pick(rng, instances, s)
		if i == gone {
			i = (i + 1) % instances
		}
		o.offered++
		if !s.request(now, i) {
			o.refused++
		}
	}
	operations, messages := s.cost()
	o.operations = float64(operations) / length.Seconds()
	o.messages = float64(messages) / float64(o.offered)
	return o
}

// Callers stay inside their workspace's limit, so every refusal is wrongful.
// The table compares ways to count over 36 instances; run with -v to see it.
func TestRefusalsWithinTheLimit(t *testing.T) {
	plan := config.Limit{Rate: 50, Burst: 100}
	small := config.Limit{Rate: 2, Burst: 5}
	tiny := config.Limit{Rate: 0.5, Burst: 1}
	scenarios := []scenario{
		{name: "even", limit: plan, pick: anywhere},
		{name: "all at one holder", limit: plan, pick: singleHolder},
		{name: "all at one other", limit: plan, pick: singleNonHolder},
		{name: "burst of 5, even", limit: small, pick: anywhere},
		{name: "burst of 5, at one", limit: small, pick: singleNonHolder},
		{name: "burst of 1, even", limit: tiny, pick: anywhere},
		{name: "holder killed", limit: plan, pick: anywhere, killed: true},
		{name: "small, holder killed", limit: small, pick: anywhere, killed: true},
		{name: "holder leaves", limit: plan, pick: anywhere, leaves: true},
		{name: "holder leaves, drains", limit: plan, pick: anywhere, leaves: true, drains: true},
		{name: "table away 40 s", limit: plan, pick: anywhere, away: true},
		{name: "table away and killed", limit: plan, pick: anywhere, away: true, killed: true},
	}
	schemes := []struct {
		name  string
		build func(config.Limit, int) scheme
	}{
		{"equal split", newEqualSplit},
		{"counter in the table", newTableCounter},
		{"leases from the table", newTableLease},
		{"parts", newParts},
		{"parts, 3 holders", newThreeHolders},
	}
	var table strings.Builder
	worst := 0.0
	for _, sc := range scenarios {
		fmt.Fprintf(&table, "\n%-24s", sc.name)
		for _, scheme := range schemes {
			sum := outcome{}
			const runs = 10
			for seed := range uint64(runs) {
				o := sc.run(scheme.build, seed)
				sum.offered += o.offered
				sum.refused += o.refused
				sum.operations += o.operations / runs
				sum.messages += o.messages / runs
			}
			share := 100 * float64(sum.refused) / float64(sum.offered)
			fmt.Fprintf(&table, " | %-21s %5.1f%% %5.1f/s %4.2f", scheme.name, share, sum.operations, sum.messages)
			if scheme.name == "parts" && !sc.killed {
				worst = max(worst, share)
			}
		}
	}
	t.Logf("refused, table operations/s, messages/request:%s", table.String())
	must.Less(t, 5, worst)
}

// A workspace calls at five times its rate, at all instances. It gets nearly
// its limit, and what is refused costs few messages: instances remember for
// how long a holder has nothing.
func TestFloodCostsFewMessages(t *testing.T) {
	l := config.Limit{Rate: 50, Burst: 100}
	rng := rand.New(rand.NewPCG(1, 5))
	for _, pick := range []func(*rand.Rand, int, scheme) int{anywhere, singleHolder, singleNonHolder} {
		s := newParts(l, 36)
		one := tokenBucket{tokens: l.Burst}
		offered, admitted, due := 0, 0, 0
		for now := time.Duration(0); now < 30*time.Second; offered++ {
			now += time.Duration(rng.ExpFloat64() / (5 * l.Rate) * float64(time.Second))
			if s.request(now, pick(rng, 36, s)) {
				admitted++
			}
			if one.take(now, l.Rate, l.Burst, 1) {
				due++
			}
		}
		_, messages := s.cost()
		t.Logf("offered %d, one bucket admits %d, admitted %d, %.2f messages a request",
			offered, due, admitted, float64(messages)/float64(offered))
		must.LessEq(t, due, admitted)
		must.GreaterEq(t, due*9/10, admitted)
		must.Less(t, offered*3/2, messages)
	}
}

func BenchmarkTake(b *testing.B) {
	h := newHolderWithParts("h", DefaultSettings(), 20)
	l := config.Limit{Rate: 1e6, Burst: 1e6}
	now := time.Minute
	for b.Loop() {
		now += time.Microsecond
		h.Take(now, testBucket, l, Token)
	}
}
