package routing_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/routing"
)

func TestAllowedDataCentres(t *testing.T) {
	topology := routing.Topology{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	for _, tc := range []struct {
		name             string
		route, workspace []string
		restricted       bool
		want             map[string]bool
	}{
		{"unrestricted", nil, nil, false, nil},
		{"route", []string{"a"}, nil, true, map[string]bool{"a1": true, "a2": true}},
		{"workspace", nil, []string{"b", "c"}, true, map[string]bool{"b1": true, "c1": true}},
		{"both", []string{"a", "b"}, []string{"b", "c"}, true, map[string]bool{"b1": true}},
		{"disjoint", []string{"a"}, []string{"b"}, true, map[string]bool{}},
		{"unknown region", []string{"x"}, nil, true, map[string]bool{}},
	} {
		got, restricted := topology.AllowedDataCentres(&routing.Route{Regions: tc.route}, &routing.Workspace{Regions: tc.workspace})
		must.Eq(t, tc.restricted, restricted, must.Sprint(tc.name))
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
	got, restricted := topology.AllowedDataCentres(&routing.Route{Regions: []string{"c"}}, nil)
	must.True(t, restricted)
	must.Eq(t, map[string]bool{"c1": true}, got)
}

func TestRegionsIntersectsRestrictedRoutes(t *testing.T) {
	table := routing.NewTable(routing.Config{Routes: []routing.Route{
		{Host: "both", Prefix: "/x/", Regions: []string{"a", "b"}},
		{Host: "both", Prefix: "/y/", Regions: []string{"b", "c"}},
		{Host: "both", Prefix: "/"},
		{Host: "free", Prefix: "/"},
	}})
	got, restricted := table.Regions("BOTH:80")
	must.True(t, restricted)
	must.Eq(t, []string{"b"}, got)
	_, restricted = table.Regions("free")
	must.False(t, restricted)
}
