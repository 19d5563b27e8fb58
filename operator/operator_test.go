package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/storage"
)

// A change of many rows is split into several versions. Instances apply each of
// them for a short time, so each must be valid: no plan may refer to a missing
// service, and no workspace to a missing plan.
func TestStagesAreValidLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		from, to := namedLists(rng), namedLists(rng)
		p := Proposal{Base: Snapshot{Lists: from}, Changes: lists.Diff(from, to)}
		rows := map[string]storage.Row{}
		for _, r := range from.Rows() {
			rows[r.Key] = storage.Row{Key: r.Key, Value: r.Value}
		}
		digest := from.Digest()
		for _, s := range p.stages(1 + rng.IntN(3)) {
			for _, put := range s.puts {
				rows[put.Key] = storage.Row{Key: put.Key, Value: put.Value, Deleted: put.Delete}
			}
			l, err := lists.FromRows(slices.Collect(maps.Values(rows)))
			must.NoError(t, err)
			must.Eq(t, l.Digest(), s.digest)
			digest = s.digest
			for _, w := range l.Workspaces {
				must.MapContainsKey(t, l.Plans, w.Plan)
			}
			for _, plan := range l.Plans {
				for service := range plan.Services {
					must.MapContainsKey(t, l.Services, service)
				}
			}
		}
		must.Eq(t, to.Digest(), digest)
	})
}

// namedLists draws lists that also differ in their plans and services.
func namedLists(rng *rand.Rand) lists.Lists {
	l := lists.Empty()
	for range 1 + rng.IntN(3) {
		s, p, w := "s"+randomName(rng), "p"+randomName(rng), "w"+randomName(rng)
		l.Services[s] = config.Service{Name: s, Floor: 1 + rng.IntN(2), Routes: []config.Route{{Prefix: "/" + s + "/"}}}
		l.Plans[p] = config.Plan{Name: p, Services: map[string]config.Limit{s: {Rate: 1, Burst: float64(1 + rng.IntN(2))}}}
		l.Workspaces[w] = config.Workspace{Name: w, Plan: p}
	}
	return l
}

// One of two operators commits between the other's read and write. The other
// must get the winner's audit entry, and its own change must have no effect.
func TestRaceNamesTheWinner(t *testing.T) {
	ctx := context.Background()
	store := tables.New()
	table := &faultyTable{store: store, lose: func() loss { return answered }}
	maria, ercan := New(table, Settings{OperatorName: "maria"}), New(table, Settings{OperatorName: "ercan"})
	rng := rand.New(rand.NewPCG(1, 1))
	first, second := randomLists(rng), randomLists(rng)
	lost, err := maria.Propose(ctx, first)
	must.NoError(t, err)
	won, err := ercan.Propose(ctx, second)
	must.NoError(t, err)
	a, err := ercan.Commit(ctx, won)
	must.NoError(t, err)
	must.Eq(t, Accepted, a.Outcome)
	b, err := maria.Commit(ctx, lost)
	must.NoError(t, err)
	must.Eq(t, Conflict, b.Outcome)
	must.Eq(t, 1, b.Version)
	must.Len(t, 1, b.ConflictingChanges)
	must.Eq(t, "ercan", b.ConflictingChanges[0].Who)
	must.SliceContains(t, b.ConflictingChanges[0].Changes, "+ plan p: service s (1 a second, burst 1)")
	must.Eq(t, second.Digest(), b.ConflictingChanges[0].Digest)
}

// A key is revealed only once: it must not appear in stored rows, JSON or
// formatted values.
func TestKeyIsNotLeaked(t *testing.T) {
	ctx := context.Background()
	store := tables.New()
	table := &faultyTable{store: store, lose: func() loss { return answered }}
	o := New(table, Settings{OperatorName: "maria"})
	p, err := o.Propose(ctx, randomLists(rand.New(rand.NewPCG(2, 2))))
	must.NoError(t, err)
	_, err = o.Commit(ctx, p)
	must.NoError(t, err)
	_, err = o.IssueKey(ctx, "nobody", "")
	must.True(t, errors.Is(err, ErrUnknownWorkspace))
	var workspace string
	for name := range p.Changes {
		if p.Changes[name].Item == "workspace" {
			workspace = p.Changes[name].Name
		}
	}
	k, err := o.IssueKey(ctx, workspace, "till 3")
	must.NoError(t, err)
	secret := k.Secret.Reveal()
	must.StrHasPrefix(t, KeyPrefix, secret)
	must.Eq(t, len(KeyPrefix)+43, len(secret))
	must.Eq(t, KeyID(secret), k.Info.ID)
	encoded, err := json.Marshal(k)
	must.NoError(t, err)
	dump := string(encoded) + fmt.Sprintf("%v %+v %#v", k, k, k)
	for _, name := range []storage.TableName{storage.Control, storage.Audit} {
		c, err := store.Read(storage.ReadRequest{Table: name})
		must.NoError(t, err)
		for _, row := range c.Rows {
			dump += row.Key + string(row.Value)
		}
	}
	must.False(t, strings.Contains(dump, secret[len(KeyPrefix):]))

	for _, s := range []KeySelector{{}, {ID: "abc"}, {ID: "zzzzzz"}, {Label: "till 4"}, {Key: "fsk_wrong"}} {
		_, err := o.RevokeKey(ctx, s)
		must.True(t, errors.Is(err, ErrUnknownKey))
	}
	gone, err := o.RevokeKey(ctx, KeySelector{Key: secret})
	must.NoError(t, err)
	must.Eq(t, Accepted, gone.Outcome)
	_, err = o.RevokeKey(ctx, KeySelector{Label: "till 3"})
	must.True(t, errors.Is(err, ErrUnknownKey))
}
