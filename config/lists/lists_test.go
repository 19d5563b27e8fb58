package lists

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

const (
	validCustomers = `{"workspaces": {"a": {"plan": "p"}}}`
	validPlans     = `{
  "services": {"s": {"floor": 2, "timeout": "2s", "routes": [{"prefix": "/s/"}]}},
  "plans": {"p": {"services": {"s": {"rate": 20, "burst": 40}}}}
}`
)

func check(customers, plans string, c ServerCounts) (Lists, []string) {
	l, diagnostics := Check(Source{"c.json", []byte(customers)}, Source{"p.json", []byte(plans)}, c)
	var lines []string
	for _, f := range diagnostics {
		lines = append(lines, f.String())
	}
	return l, lines
}

// Each kind of invalid input must be reported with its position, what was found
// and what is allowed.
func TestCheckReportsErrors(t *testing.T) {
	plan := func(old, replacement string) string { return strings.Replace(validPlans, old, replacement, 1) }
	tests := []struct {
		name, customers, plans string
		servers                ServerCounts
		want                   []string
	}{
		{"good", validCustomers, validPlans, ServerCounts{"s": 2}, nil},
		{"syntax", `{"workspaces": `, validPlans, nil, []string{"c.json:1:16: found parsing value: unexpected EOF; allowed: JSON"}},
		{
			"unknown field", `{"workspaces": {"a": {"plan": "p", "plam": 1}}}`, validPlans, nil,
			[]string{`c.json:1:36: workspaces.a.plam: found the unknown field "plam"; allowed: the fields "plan"`},
		},
		{
			"duplicate workspace", "{\"workspaces\": {\n\"a\": {\"plan\": \"p\"},\n\"a\": {\"plan\": \"p\"}}}", validPlans, nil,
			[]string{`c.json:3:1: workspaces: found "a" a second time, first on line 2; allowed: each name once`},
		},
		{"missing section", `{}`, validPlans, nil, []string{`c.json:1:1: found no field "workspaces"`}},
		{"wrong type", `{"workspaces": []}`, validPlans, nil, []string{`c.json:1:16: workspaces: found an array; allowed: an object in braces`}},
		{
			"unknown plan", `{"workspaces": {"a": {"plan": "q"}}}`, validPlans, nil,
			[]string{`c.json:1:31: workspaces.a.plan: found the unknown plan "q"; allowed: one of the plans p`},
		},
		{"bad name", `{"workspaces": {"A/b": {"plan": "p"}}}`, validPlans, nil, []string{`c.json:1:17: workspaces.A/b: found the name "A/b"`}},
		{"long name", `{"workspaces": {"` + strings.Repeat("a", MaxNameBytes+1) + `": {"plan": "p"}}}`, validPlans, nil, []string{"c.json:1:17: "}},
		{
			"unknown service", validCustomers, plan(`{"s": {"rate"`, `{"t": {"rate"`), nil,
			[]string{`p.json:3:32: plans.p.services.t: found the unknown service "t"; allowed: one of the services s`},
		},
		{
			"no service", validCustomers, plan(`{"s": {"rate": 20, "burst": 40}}`, `{}`), nil,
			[]string{`p.json:3:31: plans.p.services: found a plan without a service`},
		},
		{"rate zero", validCustomers, plan("20", "0"), nil, []string{`p.json:3:46: plans.p.services.s.rate: found 0; allowed: a number from 0.0001 to 1000000`}},
		{"rate infinite", validCustomers, plan("20", "1e999"), nil, []string{`p.json:3:46: plans.p.services.s.rate: found 1e999`}},
		{"rate text", validCustomers, plan("20", `"20"`), nil, []string{`p.json:3:46: plans.p.services.s.rate: found "20"`}},
		{"burst below one", validCustomers, plan("40", "0.5"), nil, []string{`p.json:3:59: plans.p.services.s.burst: found 0.5; allowed: a number from 1 to`}},
		{"floor above server count", validCustomers, validPlans, ServerCounts{"s": 1}, []string{`p.json:2:31: services.s.floor: found the floor 2; allowed: at most 1`}},
		{"floor zero", validCustomers, plan(`"floor": 2`, `"floor": 0`), nil, []string{`p.json:2:31: services.s.floor: found 0`}},
		{"probe of the health report path", validCustomers, plan(`"2s"`, `"2s", "probe": "/-/health"`), nil, []string{`p.json:2:60: services.s.probe: found "/-/health"; allowed: a path such as "/catalogue/glue", of at most 256 letters, digits, "-", "_", ".", "~" and slashes, without "//", "." and ".." between slashes, and not under /-/`}},
		{"time-out without unit", validCustomers, plan(`"2s"`, `"2"`), nil, []string{`p.json:2:45: services.s.timeout: found "2"; allowed: a duration from 1ms to 1h0m0s`}},
		{"no routes", validCustomers, plan(`[{"prefix": "/s/"}]`, `[]`), nil, []string{`p.json:2:61: services.s.routes: found no route`}},
		{"prefix without slash", validCustomers, plan(`"/s/"`, `"/s"`), nil, []string{`p.json:2:73: services.s.routes[0].prefix: found "/s"`}},
		{"prefix with dots", validCustomers, plan(`"/s/"`, `"/s/../"`), nil, []string{`p.json:2:73: `}},
		{"prefix escaped", validCustomers, plan(`"/s/"`, `"/%73/"`), nil, []string{`p.json:2:73: `}},
		{
			"prefix twice", validCustomers, plan(`"services": {`, "\"services\": {\"t\": {\"floor\": 1, \"timeout\": \"1s\", \"routes\": [{\"prefix\": \"/s/\"}]},\n"), nil,
			[]string{`p.json:3:58: services.s.routes[0].prefix: found the prefix "/s/", which the service "t" has on line 2; allowed: each prefix once`},
		},
		{"everything at once", `{"workspaces": {"a": {"plan": "q"}}, "x": 1}`, plan("20, \"burst\": 40", "-1, \"burst\": 0"), ServerCounts{}, []string{
			`c.json:1:31: `, `c.json:1:38: `, `p.json:2:31: `, `p.json:3:46: `, `p.json:3:59: `,
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, got := check(tc.customers, tc.plans, tc.servers)
			must.Eq(t, len(tc.want), len(got), must.Sprint(got))
			for i, want := range tc.want {
				must.StrHasPrefix(t, want, got[i])
			}
		})
	}
}

// The example lists of both deployments must be valid.
func TestExampleListsAreValid(t *testing.T) {
	serverCounts := map[string]ServerCounts{
		"dimaculangan": {"catalogue": 10, "diagnosis": 10, "ordering": 15, "billing": 15},
		"kervan":       {"archive": 10, "subscription": 15, "dispatch": 15, "editorial": 5},
	}
	for name, servers := range serverCounts {
		l, diagnostics := Check(example(t, name, "customers.json"), example(t, name, "plans.json"), servers)
		must.NoError(t, diagnostics.Err())
		must.MapLen(t, 10, l.Workspaces)
		must.MapLen(t, len(servers), l.Services)
		must.MapLen(t, 3, l.Plans)
		must.Eq(t, l, roundTrip(t, l))
	}
}

func example(t testing.TB, name, file string) Source {
	t.Helper()
	path := filepath.Join("..", "..", "examples", name, file)
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	return Source{File: path, Data: data}
}

func roundTrip(t *testing.T, l Lists) Lists {
	t.Helper()
	var rows []storage.Row
	for _, r := range l.Rows() {
		rows = append(rows, storage.Row{Key: r.Key, Value: r.Value})
	}
	back, err := FromRows(rows)
	must.NoError(t, err)
	must.Eq(t, l.Digest(), back.Digest())
	return back
}

func TestDiffDescribesChanges(t *testing.T) {
	from, diagnostics := check(validCustomers, validPlans, nil)
	must.Len(t, 0, diagnostics)
	to, diagnostics := check(`{"workspaces": {"b": {"plan": "p"}}}`, strings.NewReplacer(
		`"rate": 20`, `"rate": 25.5`, `{"prefix": "/s/"}`, `{"prefix": "/s/", "idempotent": true}, {"prefix": "/t/"}`,
	).Replace(validPlans), nil)
	must.Len(t, 0, diagnostics)
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, c.String())
	}
	must.Eq(t, []string{
		"~ plan p: service s (20 a second, burst 40) becomes (25.5 a second, burst 40)",
		"~ service s: route /s/ (repeatable by its method) becomes (always repeatable); route /t/ (repeatable by its method)",
		"- workspace a",
		"+ workspace b: plan p",
	}, lines)
	must.Len(t, 0, Diff(to, to))
	must.NotEq(t, from.Digest(), to.Digest())
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(validCustomers), []byte(validPlans))
	f.Add([]byte(strings.Repeat("[", 5000)), []byte(`{"services": {"": {"floor": 1e9}}}`))
	for _, name := range []string{"dimaculangan", "kervan"} {
		f.Add(example(f, name, "customers.json").Data, example(f, name, "plans.json").Data)
	}
	f.Fuzz(func(t *testing.T, customers, plans []byte) {
		l, diagnostics := Check(Source{"c", customers}, Source{"p", plans}, ServerCounts{"s": 1})
		for _, diagnostic := range diagnostics {
			must.Positive(t, diagnostic.Line)
			must.Positive(t, diagnostic.Column)
			must.NotEq(t, "", diagnostic.Allowed)
		}
		if len(diagnostics) > 0 {
			return
		}
		must.Eq(t, l, roundTrip(t, l))
		requireServable(t, l)
	})
}

// requireServable checks that a replica serves every route and limit of valid
// lists.
func requireServable(t *testing.T, l Lists) {
	t.Helper()
	r := config.NewReplica()
	c := storage.Changes{Revision: 1, Full: true}
	for _, row := range l.Rows() {
		c.Rows = append(c.Rows, storage.Row{Key: row.Key, Value: row.Value, Revision: 1})
	}
	must.True(t, r.Apply(c))
	for name, s := range l.Services {
		for _, route := range s.Routes {
			service, got, ok := r.Route(route.Prefix)
			must.True(t, ok)
			must.Eq(t, name, service)
			must.Eq(t, route, got)
		}
	}
	for name, w := range l.Workspaces {
		for service := range l.Plans[w.Plan].Services {
			limit, ok := r.Limit(name, service)
			must.True(t, ok)
			must.Eq(t, l.Plans[w.Plan].Services[service], limit)
		}
	}
}
