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

// The common commands work in sequence: check, apply, issue a key, list it,
// show the status, revoke the key, read the audit trail. Neither the status nor
// the audit trail contains the key.
func TestOperatorWorkflow(t *testing.T) {
	f := newFixture(t)
	must.StrContains(t, f.mustRun(exitOK, append([]string{"check"}, exampleListFiles()...)...), "10 workspaces, 3 plans, 4 services")
	code, stdout, _ := f.run("n\n", append([]string{"apply"}, exampleListFiles()...)...)
	must.Eq(t, exitDeclined, code)
	must.StrContains(t, stdout, "+ plan bench: service catalogue (5 a second, burst 10)")
	code, stdout, _ = f.run("y\n", append([]string{"apply"}, exampleListFiles()...)...)
	must.Eq(t, exitOK, code)
	must.StrContains(t, stdout, "Version 1 is accepted")
	must.StrContains(t, stdout, "The change is in force everywhere.")
	must.StrContains(t, f.mustRun(exitOK, append([]string{"apply"}, exampleListFiles()...)...), "Nothing to do")

	code, key, _ := f.run("", "keys", "give", "--workspace", "cebu-boatyard", "--label", "till-3")
	must.Eq(t, exitOK, code)
	key = strings.TrimSpace(key)
	must.Eq(t, 47, len(key))
	id := operator.KeyID(key)
	must.StrContains(t, f.mustRun(exitOK, "keys", "list"), id+"  cebu-boatyard  till-3")

	status := f.mustRun(exitOK, "status")
	must.StrContains(t, status, "Lists version 1 at revision 2: 10 workspaces, 3 plans, 4 services, 1 keys.")
	must.StrContains(t, status, "catalogue-3 at weight 0.25: its answers take 8 times as long")
	must.StrContains(t, status, "1.5 tokens left of burst 40 on this instance (20 of 60 parts), 7 refused")

	must.StrContains(t, f.mustRun(exitUsage, "keys", "withdraw", key), "The argument is a key")
	code, stdout, _ = f.run(key+"\n", "keys", "withdraw", "--stdin")
	must.Eq(t, exitOK, code)
	must.StrContains(t, stdout, "Key "+id+" of workspace cebu-boatyard is revoked.")
	must.StrContains(t, f.mustRun(exitNotFound, "keys", "withdraw", id), "no such key")
	audit := f.mustRun(exitOK, "audit")
	must.StrContains(t, audit, "maria changed the lists from version 0 to 1")
	must.StrContains(t, audit, "maria issued key "+id+" (till-3) to workspace cebu-boatyard")
	must.StrContains(t, audit, "maria revoked key "+id)
	must.False(t, strings.Contains(audit+status, key[len(operator.KeyPrefix):]))
}

// A refusal is explained from the memory of the instance that decided it, and
// from the object store after that instance has ended.
func TestExplain(t *testing.T) {
	f := newFixture(t)
	at := time.Now().UTC().Add(-time.Minute).Truncate(time.Millisecond)
	record := decision.Record{
		Request: decision.NewRequestID("0f8fad5b-entry", at, 1), At: at, Instance: "0f8fad5b-entry", Workspace: "cebu-boatyard",
		Service: "catalogue", Method: "GET", Outcome: decision.NotRun, Rule: decision.RuleRateExceeded, RetryAfter: 1200 * time.Millisecond,
		Figures: decision.Figures{Plan: "workshop", Rate: 20, Burst: 40, Tokens: 0.25, Parts: 20},
	}
	stored := record
	stored.Instance, stored.Request = "gone-entry", decision.NewRequestID("gone-entry", at, 1)
	f.entry.records = []decision.Record{record}
	buffer := decision.NewBuffer("gone-entry", decision.BufferSettings{})
	buffer.Add(stored)
	batch, ok := buffer.NextEncodedBatch()
	must.True(t, ok)
	c, err := client.New(f.platform.URL(), client.Settings{})
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.Objects().Put(context.Background(), batch.Name, batch.Data))

	for _, r := range []decision.Record{record, stored} {
		out := f.mustRun(exitOK, "explain", r.Request)
		must.StrContains(t, out, `the plan "workshop" allows 20 requests a second, with up to 40 at once after a quiet time`)
		must.StrContains(t, out, "it is safe to send it again, after 1.2 seconds.")
	}
	out := f.mustRun(exitOK, "explain", "--workspace", "cebu-boatyard", "--since", "2h", "--output", "json")
	var result explainResult
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.Len(t, 2, result.Decisions)
	must.True(t, result.Complete)
	must.Eq(t, record.Figures, result.Decisions[0].Figures)
	must.StrContains(t, f.mustRun(exitNotFound, "explain", "0f8fad5b.zzz.1"), "Nothing is recorded")
	must.StrContains(t, f.mustRun(exitUsage, "explain"), "name a request or a workspace")
}

// Invalid lists, conflicts, unknown names and outages have distinct exit codes.
// Invalid and conflicting changes are not applied.
func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	apply := func(files []string, more ...string) []string {
		return append(append([]string{"apply", "--yes", "--wait", "300ms"}, more...), files...)
	}
	out := f.mustRun(exitInvalid, apply(f.writeEditedLists(`"floor": 6`, `"floor": 11`))...)
	must.StrContains(t, out, "plans.json:7:16: services.catalogue.floor: found the floor 11; allowed: at most 10")
	code, stdout, _ := f.run("", append([]string{"check", "--output", "json"}, f.writeEditedLists(`"floor": 6`, `"flor": 6`)...)...)
	must.Eq(t, exitInvalid, code)
	var failed struct {
		Code   int
		Faults []struct{ Line int }
	}
	must.NoError(t, json.Unmarshal([]byte(stdout), &failed))
	must.Len(t, 2, failed.Faults)
	must.Eq(t, exitInvalid, failed.Code)

	f.entry.inForce = false
	must.StrContains(t, f.mustRun(exitNotInForce, apply(exampleListFiles())...), "not in force everywhere after 300ms. 1 witnesses know it; missing: w2")
	must.StrContains(t, f.mustRun(exitConflict, apply(f.writeEditedLists(`"rate": 20`, `"rate": 21`), "--made-from", "0")...), "version 1, and yours are based on version 0")
	must.Eq(t, 1, strings.Count(f.mustRun(exitOK, "audit"), "changed the lists"))
	must.StrContains(t, f.mustRun(exitNotFound, "keys", "give", "--workspace", "nobody"), "no such workspace")
	must.StrContains(t, f.mustRun(exitUsage, "apply"), "required argument")
	must.StrContains(t, f.mustRun(exitUsage, "frobnicate"), "Unknown command")
	must.StrContains(t, f.mustRun(exitOK, "apply", "--help"), "foxtailspoke apply --dry-run customers.json plans.json")

	must.NoError(t, os.WriteFile(f.env[envTokenFile], []byte("wrong"), 0o600))
	must.StrContains(t, f.mustRun(exitNotInForce, apply(f.writeEditedLists(`"rate": 20`, `"rate": 23`))...), "no entry instance answered")
	must.StrContains(t, f.mustRun(exitOK, "status"), "no response")
	f.env[envTokenFile] = ""
	must.StrContains(t, f.mustRun(exitNotInForce, apply(f.writeEditedLists(`"rate": 20`, `"rate": 22`))...), "can't be checked without --token-file")
	f.platform.Close()
	f.mustRun(exitUnavailable, apply(exampleListFiles(), "--timeout", "200ms")...)
	delete(f.env, envPlatform)
	must.StrContains(t, f.mustRun(exitUsage, "get"), "--platform URL")
}

// hookReader calls beforeRead before the first read. It simulates another
// operator who acts while a confirmation is pending.
type hookReader struct {
	io.Reader
	beforeRead func()
}

func (r *hookReader) Read(p []byte) (int, error) {
	if r.beforeRead != nil {
		r.beforeRead()
		r.beforeRead = nil
	}
	return r.Reader.Read(p)
}

// Another operator applies a change between the display of the differences and
// the confirmation. The confirmed change must fail with a conflict that names
// the other operator and the change.
func TestConcurrentApplyDuringConfirmation(t *testing.T) {
	f := newFixture(t)
	f.mustRun(exitOK, append([]string{"apply", "--yes"}, exampleListFiles()...)...)
	otherFiles := f.writeEditedLists(`"rate": 20`, `"rate": 25`)
	in := &hookReader{Reader: strings.NewReader("yes\n"), beforeRead: func() {
		f.mustRun(exitOK, append([]string{"apply", "--yes", "--as", "ercan"}, otherFiles...)...)
	}}
	plansFile := filepath.Join(f.dir, "mine.json")
	data, err := os.ReadFile(exampleListFiles()[1])
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(plansFile, bytes.Replace(data, []byte(`"rate": 20`), []byte(`"rate": 22`), 1), 0o600))
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), []string{"apply", exampleListFiles()[0], plansFile}, Streams{In: in, Out: &stdout, Err: &stderr},
		func(name string) string { return f.env[name] })
	must.Eq(t, exitConflict, code)
	must.StrContains(t, stdout.String(), "~ plan workshop: service catalogue (20 a second, burst 40) becomes (22 a second, burst 40)")
	must.StrContains(t, stderr.String(), "Nothing was applied: another change was committed after you read version 1:")
	must.StrContains(t, stderr.String(), "ercan changed the lists from version 1 to 2")
	must.StrContains(t, stderr.String(), "becomes (25 a second, burst 40)")
	must.StrContains(t, f.mustRun(exitOK, "get"), `"rate": 25`)
}

// The response to a committed change is lost; then the next write itself is
// lost. Each change must be reported as accepted and be applied exactly once.
// While all responses are lost, the outcome must be reported as unknown.
func TestLostResponses(t *testing.T) {
	f := newFixture(t)
	apply := func(rate string) []string {
		return append([]string{"apply", "--yes", "--timeout", "4s"}, f.writeEditedLists(`"rate": 20`, `"rate": `+rate)...)
	}
	for i, faults := range []func(*standin.PlatformFaults){
		func(f *standin.PlatformFaults) { f.Table.DropResponses = 1 },
		func(f *standin.PlatformFaults) { f.Table.DropWrites = 1 },
	} {
		must.NoError(t, f.platform.UpdateFaults(faults))
		must.StrContains(t, f.mustRun(exitOK, apply(fmt.Sprint(30+i))...), fmt.Sprintf("Version %d is accepted", i+1))
	}
	must.Eq(t, 2, strings.Count(f.mustRun(exitOK, "audit"), "changed the lists"))
	must.NoError(t, f.platform.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.DropResponses = 1000 }))
	out := f.mustRun(exitUnresolved, apply("40")...)
	must.StrContains(t, out, "It isn't known whether version 3 took effect")
	must.NoError(t, f.platform.SetFaults(standin.PlatformFaults{}))
	attempt := strings.TrimSuffix(strings.Fields(strings.SplitN(out, "--attempt ", 2)[1])[0], ".")
	must.StrContains(t, f.mustRun(exitOK, "audit", "--attempt", attempt), "from version 2 to 3")
	must.StrContains(t, f.mustRun(exitOK, apply("40")...), "Nothing to do")
	must.StrContains(t, f.mustRun(exitNotFound, "audit", "--attempt", "none"), "has not taken effect so far")
}

// A service has fewer live servers than its floor. Operators must still be able
// to make other changes, but not to raise that floor.
func TestOutageDoesNotBlockOtherChanges(t *testing.T) {
	f := newFixture(t)
	f.mustRun(exitOK, append([]string{"apply", "--yes"}, exampleListFiles()...)...)
	for i := range 6 {
		f.announce(storage.Instance{ID: "catalogue" + string(rune('a'+i)), Kind: storage.BackendServer, Service: "catalogue", State: storage.Leaving, Slots: 2})
	}
	out := f.mustRun(exitOK, append([]string{"apply", "--yes"}, f.writeEditedLists(`"rate": 20`, `"rate": 21`)...)...)
	must.StrContains(t, out, "Service catalogue has 4 live backend servers, fewer than its floor 6 in force.")
	out = f.mustRun(exitInvalid, append([]string{"apply", "--yes"}, f.writeEditedLists(`"floor": 6`, `"floor": 7`)...)...)
	must.StrContains(t, out, "found the floor 7; allowed: at most 6")
}

// While the platform is unavailable, status shows the data of the entry
// instances given by --entry; without any it ends with exitUnavailable.
func TestStatusWithoutPlatform(t *testing.T) {
	f := newFixture(t)
	must.NoError(t, f.platform.UpdateFaults(func(f *standin.PlatformFaults) {
		f.Table.Down, f.Instances.Down = standin.DownClosed, standin.DownClosed
	}))
	out := f.mustRun(exitOK, "status", "--timeout", "300ms", "--entry", f.entryAddress)
	must.StrContains(t, out, "table couldn't be read")
	must.StrContains(t, out, "lists version 1, revision 9")
	f.mustRun(exitUnavailable, "status", "--timeout", "300ms")
}

// The files that get writes can be applied again unchanged.
func TestGetRoundTrip(t *testing.T) {
	f := newFixture(t)
	f.mustRun(exitOK, append([]string{"apply", "--yes"}, exampleListFiles()...)...)
	f.mustRun(exitOK, "get", "--dir", f.dir)
	files := []string{filepath.Join(f.dir, "customers.json"), filepath.Join(f.dir, "plans.json")}
	must.StrContains(t, f.mustRun(exitOK, append([]string{"apply", "--made-from", "1"}, files...)...), "Nothing to do: version 1")
}

func TestSettingsFile(t *testing.T) {
	f := newFixture(t)
	file := filepath.Join(f.dir, "settings.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"platform": "`+f.platform.URL()+`", /* who */ "as": "ercan"}`), 0o600))
	f.env = map[string]string{envSettings: file}
	must.StrContains(t, f.mustRun(exitNotInForce, append([]string{"apply", "--yes"}, exampleListFiles()...)...), "accepted")
	must.StrContains(t, f.mustRun(exitOK, "audit"), "ercan changed the lists")
	must.NoError(t, os.WriteFile(file, []byte(`{"platfrom": "x"}`), 0o600))
	must.StrContains(t, f.mustRun(exitInvalid, "get"), `settings.json:1:2: platfrom: found the unknown field "platfrom"`)
}
