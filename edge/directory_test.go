package edge

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/platform"
	"foxtailspoke/routing"
)

func TestDirectory(t *testing.T) {
	topology := routing.Topology{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	ready := func(dcs ...string) map[string][]string {
		m := make(map[string][]string)
		for _, dc := range dcs {
			m[dc] = append(m[dc], dc+"-"+string(rune('0'+len(m[dc]))))
		}
		return m
	}
	from := platform.ResolveRequest{DataCentre: "a1", Region: "a"}
	for _, tc := range []struct {
		name  string
		ready map[string][]string
		// regions are the allowed regions of the host's routes; nil if there is no
		// restriction.
		regions []string
		want    []string
	}{
		{"own data centre", ready("a1", "a1", "b1"), nil, []string{"a1-0", "a1-1"}},
		{"too few in own data centre", ready("a1", "b1"), nil, []string{"a1-0", "b1-0"}},
		{"restricted, own data centre", ready("a1", "b1", "b1"), []string{"b"}, []string{"a1-0"}},
		{"restricted, own region", ready("a2", "b1", "c1"), []string{"b"}, []string{"a2-0"}},
		{"restricted, allowed region", ready("b1", "c1"), []string{"b"}, []string{"b1-0"}},
		{"restricted, none is there", ready("c1"), []string{"b"}, []string{"c1-0"}},
		{"no instance is ready", ready(), []string{"b"}, nil},
	} {
		d := directory{topology, tc.ready}
		got := d.nearest(from)
		if tc.regions != nil {
			got = d.inRegions(from, tc.regions)
		}
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
}
