package decision

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite golden files")

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260302")
	os.Exit(m.Run())
}

var noon = time.Date(2026, 3, 2, 11, 59, 58, 0, time.UTC)

const testInstance = "0f8fad5b-d9cb-469f-a165-70867728950e"

// sampleRecord returns a record of a rule with realistic figures.
func sampleRecord(rule Rule) Record {
	r := Record{
		Request: NewRequestID(testInstance, noon, 7), At: noon, Instance: testInstance,
		Workspace: "bench-and-joint", Service: "catalogue", Method: "GET",
		Outcome: Lookup(rule).Outcome, Rule: rule, Server: "catalogue-3", Attempts: 1,
		Took: 2300 * time.Millisecond,
		Figures: Figures{
			Plan: "workshop", Rate: 20, Burst: 40, Age: 4200 * time.Millisecond, AgeLimit: 3 * time.Second,
			Timeout: 2 * time.Second, Servers: 10, Usable: 0, Size: 3 << 20, MaxSize: 2 << 20,
		},
	}
	if Lookup(rule).RetryAfter {
		r.RetryAfter = 1200 * time.Millisecond
	}
	return r
}

// The golden file shows every sentence as users see it, for review after a
// change. To update it: go test ./decision -run Golden -update
func TestSentencesGolden(t *testing.T) {
	var out strings.Builder
	for _, info := range Catalogue() {
		fmt.Fprintf(&out, "[%s] %d %s\n%s\n\n", info.Rule, info.Status, info.Title, sampleRecord(info.Rule).Sentence())
	}
	retried := sampleRecord(RuleServed)
	retried.Attempts, retried.Figures.Detail = 2, "it answered half"
	fmt.Fprintf(&out, "[served, second attempt]\n%s\n\n", retried.Sentence())
	repeated := sampleRecord(RuleServed)
	repeated.Outcome = RanBefore
	fmt.Fprintf(&out, "[served, repeat by the caller]\n%s\n\n", repeated.Sentence())
	bare := Record{Rule: RuleRateExceeded, Outcome: NotRun}
	fmt.Fprintf(&out, "[over-rate, nothing known]\n%s\n", bare.Sentence())
	path := filepath.Join("testdata", "sentences.golden")
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), out.String())
}

// A sentence says "not carried out" if and only if the request was refused with
// the outcome NotRun. Otherwise a caller could repeat a request that was executed.
func TestSentenceFollowsOutcome(t *testing.T) {
	for _, info := range Catalogue() {
		for _, outcome := range []Outcome{NotRun, Unknown} {
			r := sampleRecord(info.Rule)
			r.Outcome = outcome
			notRun := strings.Contains(r.Sentence(), "not carried out:")
			must.Eq(t, outcome == NotRun && info.Rule != RuleServed && info.Rule != RuleCallerDisconnected, notRun, must.Sprint(info.Rule))
		}
	}
}

func TestRequestIDRoundTrip(t *testing.T) {
	id, ok := ParseRequestID(NewRequestID(testInstance, noon, 1<<40))
	must.True(t, ok)
	must.Eq(t, RequestID{InstancePrefix: "0f8fad5b", At: noon, N: 1 << 40}, id)
	must.Eq(t, []string{"decisions/2026-03-02/11/0f8fad5b"}, id.Prefixes())
	for _, invalid := range []string{"", "a", "a.b", "..", ".1.1", "a.-1.1", "a.1.-1", "a.1.1.1", strings.Repeat("a", 65) + ".1.1"} {
		_, ok := ParseRequestID(invalid)
		must.False(t, ok, must.Sprint(invalid))
	}
}

// Slow, repeated and refused requests are all kept; others are sampled.
func TestBufferKeepsNotableRecords(t *testing.T) {
	b := NewBuffer(testInstance, BufferSettings{SampleEvery: 10})
	plain := Record{Rule: RuleServed, Outcome: Served, Attempts: 1, Took: time.Millisecond}
	slow, repeated, refused := plain, plain, plain
	slow.Took = DefaultSlowThreshold
	repeated.Attempts = 2
	refused.Rule = RuleRateExceeded
	for _, r := range []Record{slow, repeated, refused} {
		must.True(t, b.Add(r))
	}
	kept := 0
	for range 100 {
		if b.Add(plain) {
			kept++
		}
	}
	must.Eq(t, 10, kept)
}

// Records are added while the object store is unavailable or its responses to
// puts are late or lost. Each record must be in exactly one batch or be counted
// as dropped, a repeated put must have the same content, and the name of a batch
// must hold the hour of all its records.
func TestBufferStoresOrCountsEachRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuffer(testInstance, BufferSettings{MaxRecords: rapid.IntRange(1, 20).Draw(t, "max")})
		at, added, reported := noon, uint64(0), uint64(0)
		seen := map[string]string{}
		stored := map[string]bool{}
		store := func() bool {
			batch, ok := b.NextEncodedBatch()
			if !ok {
				return false
			}
			if data, again := seen[batch.Name]; again {
				must.Eq(t, data, string(batch.Data))
				return true
			}
			seen[batch.Name] = string(batch.Data)
			c, err := DecodeBatch(batch.Data)
			must.NoError(t, err)
			reported += c.Dropped
			for _, r := range c.Records {
				must.False(t, stored[r.Request])
				must.StrHasPrefix(t, HourPrefix(r.At), batch.Name)
				stored[r.Request] = true
			}
			return true
		}
		acknowledge := func() {
			if batch, ok := b.NextEncodedBatch(); ok {
				store()
				b.MarkStored(batch.Name)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				at = at.Add(rapid.SampledFrom([]time.Duration{0, time.Second, time.Hour}).Draw(t, "step"))
				b.Add(Record{Request: NewRequestID(testInstance, at, added), At: at, Rule: RuleBackendBusy, Outcome: NotRun})
				added++
			},
			"put, answer lost": func(*rapid.T) { store() },
			"put":              func(*rapid.T) { acknowledge() },
		})
		for store() {
			acknowledge()
		}
		must.Eq(t, added, uint64(len(stored))+b.Dropped())
		must.LessEq(t, b.Dropped(), reported)
	})
}

// One workspace is refused 200,000 times within a minute. An earlier refusal of
// another workspace must still be in the buffer, the kept records and their
// SimilarSkipped must account for all refusals, and all requests that may have
// run must be kept.
func TestRefusalFloodLeavesRoomForOthers(t *testing.T) {
	b := NewBuffer(testInstance, BufferSettings{})
	refused := Record{Workspace: "quiet", Rule: RuleNoServer, Outcome: NotRun, At: noon}
	must.True(t, b.Add(refused))
	refused.Workspace, refused.Rule = "flood", RuleRateExceeded
	for range 200_000 {
		b.Add(refused)
	}
	unknown := Record{Workspace: "flood", Rule: RuleUnknownOutcome, Outcome: Unknown, At: noon}
	for range DefaultMaxSimilar * 2 {
		must.True(t, b.Add(unknown))
	}
	must.Eq(t, 0, b.Dropped())
	must.Len(t, 1, b.Search(Query{Workspace: "quiet"}))
	accounted := 0
	for _, r := range b.Search(Query{Workspace: "flood"}) {
		if r.Rule == RuleRateExceeded {
			accounted += 1 + r.SimilarSkipped
		}
	}
	must.Eq(t, 200_000, accounted+b.refusals[refusalKey{workspace: "flood", rule: RuleRateExceeded}].skipped)
	must.Less(t, 400, b.Len())
	must.StrContains(t, Record{Rule: RuleRateExceeded, SimilarSkipped: 15}.Sentence(), ". 15 more requests shortly before ended the same way.")
	for i := range 3 * DefaultMaxRecords {
		refused.Workspace = fmt.Sprint(i)
		b.Add(refused)
	}
	must.LessEq(t, DefaultMaxRecords, len(b.refusals))
}

func TestSearchNewestFirst(t *testing.T) {
	b := NewBuffer(testInstance, BufferSettings{MaxRecords: 4})
	for i := range 6 {
		b.Add(Record{Request: fmt.Sprint(i), Workspace: []string{"a", "b"}[i%2], At: noon.Add(time.Duration(i) * time.Minute), Rule: RuleBackendBusy})
	}
	must.Eq(t, 2, int(b.Dropped()))
	found := b.Search(Query{Workspace: "a", Since: noon})
	must.Eq(t, []string{"4", "2"}, []string{found[0].Request, found[1].Request})
	must.Len(t, 1, b.Search(Query{Workspace: "a", Since: noon.Add(3 * time.Minute)}))
	must.Len(t, 0, b.Search(Query{Request: "0"}))
}

func TestOversizedFieldsAreTruncated(t *testing.T) {
	b := NewBuffer(testInstance, BufferSettings{})
	r := Record{Rule: RuleBadRequest, Method: strings.Repeat("M", 1<<20), Figures: Figures{Detail: strings.Repeat("d", 1<<20), Tokens: math.NaN(), Rate: math.Inf(1)}}
	b.Add(r)
	kept := b.Search(Query{})[0]
	must.Eq(t, MaxField, len(kept.Method))
	must.Eq(t, MaxDetail, len(kept.Figures.Detail))
	_, ok := b.NextEncodedBatch()
	must.True(t, ok)
}

func FuzzDecodeBatch(f *testing.F) {
	b := NewBuffer(testInstance, BufferSettings{})
	b.Add(sampleRecord(RuleRateExceeded))
	batch, ok := b.NextEncodedBatch()
	must.True(f, ok)
	f.Add(batch.Data)
	f.Add(batch.Data[:len(batch.Data)/2])
	f.Add([]byte("not compressed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeBatch(data)
		if err != nil {
			return
		}
		for _, r := range c.Records {
			must.NotEq(t, "", r.Sentence())
		}
	})
}

// BenchmarkBuffer measures the cost of adding a record, of taking a batch, and of
// encoding one, with its size per record in the object store.
func BenchmarkBuffer(b *testing.B) {
	b.Run("add", func(b *testing.B) {
		buffer := NewBuffer(testInstance, BufferSettings{})
		r := sampleRecord(RuleBackendBusy)
		r.Outcome = Unknown
		for b.Loop() {
			buffer.Add(r)
		}
	})
	b.Run("take", func(b *testing.B) {
		buffer := NewBuffer(testInstance, BufferSettings{MaxSimilar: DefaultMaxRecords})
		for b.Loop() {
			b.StopTimer()
			for range MaxBatchRecords {
				buffer.Add(sampleRecord(RuleUnknownOutcome))
			}
			b.StartTimer()
			batch, ok := buffer.NextBatch()
			must.True(b, ok)
			buffer.MarkStored(batch.Name)
		}
	})
	b.Run("batch", func(b *testing.B) {
		size := 0
		rng := rand.New(rand.NewPCG(1, 1))
		for b.Loop() {
			buffer := NewBuffer(testInstance, BufferSettings{MaxSimilar: MaxBatchRecords})
			for i := range MaxBatchRecords {
				r := sampleRecord(catalogue[i%len(catalogue)].Rule)
				r.At = noon.Add(-time.Duration(rng.IntN(60_000)) * time.Millisecond)
				r.Request, r.Workspace = NewRequestID(testInstance, r.At, uint64(i)), fmt.Sprint("workspace-", rng.IntN(55_000))
				r.Server, r.Service = fmt.Sprint("server-", rng.IntN(24_000)), fmt.Sprint("service-", rng.IntN(560))
				r.Took, r.Figures.Tokens = time.Duration(rng.IntN(2e9)), rng.Float64()
				buffer.Add(r)
			}
			batch, _ := buffer.NextEncodedBatch()
			size = len(batch.Data)
		}
		b.ReportMetric(float64(size)/MaxBatchRecords, "B/record")
	})
}
