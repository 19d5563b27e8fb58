package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/decision"
	"foxtailspoke/internal/standin"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

// A newcomer's first session: check, apply, give a key, see it, explain a
// refusal, withdraw the key, read the trail.
func TestOperatorWorkflow(t *testing.T) {
	b := newBench(t)
	must.StrContains(t, b.must(exitOK, append([]string{"check"}, exampleLists()...)...), "10 workspaces, 3 plans, 4 services")
	code, stdout, _ := b.run("n\n", append([]string{"apply"}, exampleLists()...)...)
	must.Eq(t, exitDeclined, code)
	must.StrContains(t, stdout, "+ plan bench: service catalogue (5 a second, burst 10)")
	code, stdout, _ = b.run("y\n", append([]string{"apply"}, exampleLists()...)...)
	must.Eq(t, exitOK, code)
	must.StrContains(t, stdout, "Version 1 is accepted")
	must.StrContains(t, stdout, "It is in force everywhere.")
	must.StrContains(t, b.must(exitOK, append([]string{"apply"}, exampleLists()...)...), "Nothing to do")

	code, key, _ := b.run("", "keys", "give", "--workspace", "cebu-boatyard", "--label", "till-3")
	must.Eq(t, exitOK, code)
	key = strings.TrimSpace(key)
	must.Eq(t, 47, len(key))
	id := operator.KeyID(key)
	must.StrContains(t, b.must(exitOK, "keys", "list"), id+"  cebu-boatyard  till-3")

	status := b.must(exitOK, "status")
	must.StrContains(t, status, "Lists version 1 at revision 2: 10 workspaces, 3 plans, 4 services, 1 keys.")
	must.StrContains(t, status, "catalogue-3 at weight 0.25: its answers take 8 times as long")
	must.StrContains(t, status, "1.5 tokens left of burst 40 here (20 of 60 parts), 7 refused")

	must.StrContains(t, b.must(exitUsage, "keys", "withdraw", key), "That is a key")
	code, stdout, _ = b.run(key+"\n", "keys", "withdraw", "--stdin")
	must.Eq(t, exitOK, code)
	must.StrContains(t, stdout, "Key "+id+" of workspace cebu-boatyard is withdrawn.")
	must.StrContains(t, b.must(exitNotFound, "keys", "withdraw", id), "no such key")
	trail := b.must(exitOK, "audit")
	must.StrContains(t, trail, "maria changed the lists from version 0 to 1")
	must.StrContains(t, trail, "maria gave key "+id+" (till-3) to workspace cebu-boatyard")
	must.StrContains(t, trail, "maria withdrew key "+id)
	must.False(t, strings.Contains(trail+status, key[len(operator.KeyPrefix):]))
}

// A refusal is explained from the memory of the instance that decided, and
// after that instance has gone from the object store.
func TestExplain(t *testing.T) {
	b := newBench(t)
	at := time.Now().UTC().Add(-time.Minute).Truncate(time.Millisecond)
	record := decision.Record{
		Request: decision.NewRequestID("0f8fad5b-entry", at, 1), At: at, Instance: "0f8fad5b-entry", Workspace: "cebu-boatyard",
		Service: "catalogue", Method: "GET", Outcome: decision.NotRun, Rule: decision.RuleRateExceeded, RetryAfter: 1200 * time.Millisecond,
		Figures: decision.Figures{Plan: "workshop", Rate: 20, Burst: 40, Tokens: 0.25, Parts: 20},
	}
	stored := record
	stored.Instance, stored.Request = "gone-entry", decision.NewRequestID("gone-entry", at, 1)
	b.entry.records = []decision.Record{record}
	buffer := decision.NewBuffer("gone-entry", decision.BufferSettings{})
	buffer.Add(stored)
	batch, ok := buffer.NextEncodedBatch()
	must.True(t, ok)
	c, err := client.New(b.platform.URL(), client.Settings{})
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.Objects().Put(context.Background(), batch.Name, batch.Data))

	for _, r := range []decision.Record{record, stored} {
		out := b.must(exitOK, "explain", r.Request)
		must.StrContains(t, out, `the plan "workshop" allows 20 requests a second, with up to 40 at once after a quiet time`)
		must.StrContains(t, out, "it is safe to send it again, after 1.2 seconds.")
	}
	out := b.must(exitOK, "explain", "--workspace", "cebu-boatyard", "--since", "2h", "--output", "json")
	var result explainResult
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.Len(t, 2, result.Decisions)
	must.True(t, result.Complete)
	must.Eq(t, record.Figures, result.Decisions[0].Figures)
	must.StrContains(t, b.must(exitNotFound, "explain", "0f8fad5b.zzz.1"), "Nothing is recorded")
	must.StrContains(t, b.must(exitUsage, "explain"), "name a request or a workspace")
}

// Faults, races and outages end with their own exit codes, and with nothing
// applied.
func TestExitCodes(t *testing.T) {
	b := newBench(t)
	apply := func(files []string, more ...string) []string {
		return append(append([]string{"apply", "--yes", "--wait", "300ms"}, more...), files...)
	}
	out := b.must(exitInvalid, apply(b.edited(`"floor": 6`, `"floor": 11`))...)
	must.StrContains(t, out, "plans.json:7:16: services.catalogue.floor: found the floor 11; allowed: at most 10")
	code, stdout, _ := b.run("", append([]string{"check", "--output", "json"}, b.edited(`"floor": 6`, `"flor": 6`)...)...)
	must.Eq(t, exitInvalid, code)
	var failed struct {
		Code   int
		Faults []struct{ Line int }
	}
	must.NoError(t, json.Unmarshal([]byte(stdout), &failed))
	must.Len(t, 2, failed.Faults)
	must.Eq(t, exitInvalid, failed.Code)

	b.entry.inForce = false
	must.StrContains(t, b.must(exitNotInForce, apply(exampleLists())...), "not in force everywhere after 300ms. 1 witnesses know it; missing: w2")
	must.StrContains(t, b.must(exitConflict, apply(b.edited(`"rate": 20`, `"rate": 21`), "--made-from", "0")...), "version 1, and yours were made from version 0")
	must.Eq(t, 1, strings.Count(b.must(exitOK, "audit"), "changed the lists"))
	must.StrContains(t, b.must(exitNotFound, "keys", "give", "--workspace", "nobody"), "no such workspace")
	must.StrContains(t, b.must(exitUsage, "apply"), "required argument")
	must.StrContains(t, b.must(exitUsage, "frobnicate"), "Unknown command")
	must.StrContains(t, b.must(exitOK, "apply", "--help"), "foxtailspoke apply --dry-run customers.json plans.json")

	must.NoError(t, os.WriteFile(b.env[envTokenFile], []byte("wrong"), 0o600))
	must.StrContains(t, b.must(exitNotInForce, apply(b.edited(`"rate": 20`, `"rate": 23`))...), "no entry instance answered")
	must.StrContains(t, b.must(exitOK, "status"), "no answer")
	b.env[envTokenFile] = ""
	must.StrContains(t, b.must(exitNotInForce, apply(b.edited(`"rate": 20`, `"rate": 22`))...), "can't be asked without --token-file")
	b.platform.Close()
	b.must(exitUnavailable, apply(exampleLists(), "--timeout", "200ms")...)
	delete(b.env, envPlatform)
	must.StrContains(t, b.must(exitUsage, "get"), "--platform URL")
}

// reading calls f before it gives its text, as an operator who thinks about a
// question while others act.
type reading struct {
	io.Reader
	f func()
}

func (r *reading) Read(p []byte) (int, error) {
	if r.f != nil {
		r.f()
		r.f = nil
	}
	return r.Reader.Read(p)
}

// Maria looks at the difference; Ercan applies his meanwhile; Maria says yes.
// She must lose and learn who won with what.
func TestConcurrentApplyDuringConfirmation(t *testing.T) {
	b := newBench(t)
	b.must(exitOK, append([]string{"apply", "--yes"}, exampleLists()...)...)
	theirs := b.edited(`"rate": 20`, `"rate": 25`)
	in := &reading{Reader: strings.NewReader("yes\n"), f: func() {
		b.must(exitOK, append([]string{"apply", "--yes", "--as", "ercan"}, theirs...)...)
	}}
	mine := filepath.Join(b.dir, "mine.json")
	data, err := os.ReadFile(exampleLists()[1])
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(mine, bytes.Replace(data, []byte(`"rate": 20`), []byte(`"rate": 22`), 1), 0o600))
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), []string{"apply", exampleLists()[0], mine}, Streams{In: in, Out: &stdout, Err: &stderr},
		func(name string) string { return b.env[name] })
	must.Eq(t, exitConflict, code)
	must.StrContains(t, stdout.String(), "~ plan workshop: service catalogue (20 a second, burst 40) becomes (22 a second, burst 40)")
	must.StrContains(t, stderr.String(), "Nothing was applied: after you read version 1, another change came first:")
	must.StrContains(t, stderr.String(), "ercan changed the lists from version 1 to 2")
	must.StrContains(t, stderr.String(), "becomes (25 a second, burst 40)")
	must.StrContains(t, b.must(exitOK, "get"), `"rate": 25`)
}

// The platform carries out a change and its answer is lost; the next write is
// lost itself. Both must end as accepted, once. While it stays away, nobody
// may claim either.
func TestLostResponses(t *testing.T) {
	b := newBench(t)
	apply := func(rate string) []string {
		return append([]string{"apply", "--yes", "--timeout", "4s"}, b.edited(`"rate": 20`, `"rate": `+rate)...)
	}
	for i, faults := range []func(*standin.PlatformFaults){
		func(f *standin.PlatformFaults) { f.Table.DropResponses = 1 },
		func(f *standin.PlatformFaults) { f.Table.DropWrites = 1 },
	} {
		must.NoError(t, b.platform.UpdateFaults(faults))
		must.StrContains(t, b.must(exitOK, apply(fmt.Sprint(30+i))...), fmt.Sprintf("Version %d is accepted", i+1))
	}
	must.Eq(t, 2, strings.Count(b.must(exitOK, "audit"), "changed the lists"))
	must.NoError(t, b.platform.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.DropResponses = 1000 }))
	out := b.must(exitUnresolved, apply("40")...)
	must.StrContains(t, out, "It isn't known whether version 3 took effect")
	must.NoError(t, b.platform.SetFaults(standin.PlatformFaults{}))
	attempt := strings.TrimSuffix(strings.Fields(strings.SplitN(out, "--attempt ", 2)[1])[0], ".")
	must.StrContains(t, b.must(exitOK, "audit", "--attempt", attempt), "from version 2 to 3")
	must.StrContains(t, b.must(exitOK, apply("40")...), "Nothing to do")
	must.StrContains(t, b.must(exitNotFound, "audit", "--attempt", "none"), "has not taken effect so far")
}

// A service lost servers and is below its floor. The operator must still be
// able to change other things, but not to raise that floor.
func TestOutageDoesNotBlockOtherChanges(t *testing.T) {
	b := newBench(t)
	b.must(exitOK, append([]string{"apply", "--yes"}, exampleLists()...)...)
	for i := range 6 {
		b.announce(storage.Instance{ID: "catalogue" + string(rune('a'+i)), Kind: storage.BackendServer, Service: "catalogue", State: storage.Leaving, Slots: 2})
	}
	out := b.must(exitOK, append([]string{"apply", "--yes"}, b.edited(`"rate": 20`, `"rate": 21`)...)...)
	must.StrContains(t, out, "Service catalogue has 4 live backend servers, fewer than its floor 6 in force.")
	out = b.must(exitInvalid, append([]string{"apply", "--yes"}, b.edited(`"floor": 6`, `"floor": 7`)...)...)
	must.StrContains(t, out, "found the floor 7; allowed: at most 6")
}

// The platform is away. An operator names an entry instance and sees what it
// knows; without one there is nothing to show, and the exit code says so.
func TestStatusWithoutPlatform(t *testing.T) {
	b := newBench(t)
	must.NoError(t, b.platform.UpdateFaults(func(f *standin.PlatformFaults) {
		f.Table.Down, f.Instances.Down = standin.DownClosed, standin.DownClosed
	}))
	out := b.must(exitOK, "status", "--timeout", "300ms", "--entry", b.entryAddress)
	must.StrContains(t, out, "table couldn't be read")
	must.StrContains(t, out, "lists version 1, revision 9")
	b.must(exitUnavailable, "status", "--timeout", "300ms")
}

// What get writes can be applied again as it is.
func TestGetRoundTrip(t *testing.T) {
	b := newBench(t)
	b.must(exitOK, append([]string{"apply", "--yes"}, exampleLists()...)...)
	b.must(exitOK, "get", "--dir", b.dir)
	files := []string{filepath.Join(b.dir, "customers.json"), filepath.Join(b.dir, "plans.json")}
	must.StrContains(t, b.must(exitOK, append([]string{"apply", "--made-from", "1"}, files...)...), "Nothing to do: version 1")
}

func TestSettingsFile(t *testing.T) {
	b := newBench(t)
	file := filepath.Join(b.dir, "settings.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"platform": "`+b.platform.URL()+`", /* who */ "as": "ercan"}`), 0o600))
	b.env = map[string]string{envSettings: file}
	must.StrContains(t, b.must(exitNotInForce, append([]string{"apply", "--yes"}, exampleLists()...)...), "accepted")
	must.StrContains(t, b.must(exitOK, "audit"), "ercan changed the lists")
	must.NoError(t, os.WriteFile(file, []byte(`{"platfrom": "x"}`), 0o600))
	must.StrContains(t, b.must(exitInvalid, "get"), `settings.json:1:2: platfrom: found the unknown field "platfrom"`)
}
