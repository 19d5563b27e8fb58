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

// arrivals returns the times of requests that all stay within the limit: a
// steady stream at 0.6 times the rate, and occasional bursts of the full size.
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

// scenario defines where requests arrive and what fails.
type scenario struct {
	name  string
	limit config.Limit
	// pick chooses one of n instances.
	pick func(rng *rand.Rand, n int, s scheme) int
	// killed ends an instance that holds parts, where the scheme has such
	// instances. tableUnreachable makes the table unreachable for 40 s.
	killed, tableUnreachable bool
	// leaves makes a holder stop as planned; drains adds a grace period with
	// SetGrantsWithGrace.
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

// outcome is the result of one scheme in one scenario.
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
		s.setTableUnreachable(sc.tableUnreachable && now >= 10*time.Second && now < 50*time.Second)
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

// Callers stay within their workspace's limit, so every refusal is an error.
// The table compares schemes over 36 instances; run with -v to see it.
func TestRefusalsWithinTheLimit(t *testing.T) {
	plan := config.Limit{Rate: 50, Burst: 100}
	small := config.Limit{Rate: 2, Burst: 5}
	tiny := config.Limit{Rate: 0.5, Burst: 1}
	scenarios := []scenario{
		{name: "even", limit: plan, pick: anywhere},
		{name: "all at one holder", limit: plan, pick: singleHolder},
		{name: "all at one non-holder", limit: plan, pick: singleNonHolder},
		{name: "burst of 5, even", limit: small, pick: anywhere},
		{name: "burst of 5, at one", limit: small, pick: singleNonHolder},
		{name: "burst of 1, even", limit: tiny, pick: anywhere},
		{name: "holder killed", limit: plan, pick: anywhere, killed: true},
		{name: "small, holder killed", limit: small, pick: anywhere, killed: true},
		{name: "holder leaves", limit: plan, pick: anywhere, leaves: true},
		{name: "holder leaves, drains", limit: plan, pick: anywhere, leaves: true, drains: true},
		{name: "table unreachable 40 s", limit: plan, pick: anywhere, tableUnreachable: true},
		{name: "unreachable and killed", limit: plan, pick: anywhere, tableUnreachable: true, killed: true},
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

// Guards against message load under floods. A workspace sends requests at five
// times its rate, to all instances. It must get nearly its limit, and refusals
// must cost few messages, because instances remember a holder's retry time
// after a shortage.
func TestFloodCostsFewMessages(t *testing.T) {
	l := config.Limit{Rate: 50, Burst: 100}
	rng := rand.New(rand.NewPCG(1, 5))
	for _, pick := range []func(*rand.Rand, int, scheme) int{anywhere, singleHolder, singleNonHolder} {
		s := newParts(l, 36)
		reference := tokenBucket{tokens: l.Burst}
		offered, admitted, expected := 0, 0, 0
		for now := time.Duration(0); now < 30*time.Second; offered++ {
			now += time.Duration(rng.ExpFloat64() / (5 * l.Rate) * float64(time.Second))
			if s.request(now, pick(rng, 36, s)) {
				admitted++
			}
			if reference.take(now, l.Rate, l.Burst, 1) {
				expected++
			}
		}
		_, messages := s.cost()
		t.Logf("offered %d, one bucket admits %d, admitted %d, %.2f messages a request",
			offered, expected, admitted, float64(messages)/float64(offered))
		must.LessEq(t, expected, admitted)
		must.GreaterEq(t, expected*9/10, admitted)
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
