package discovery_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/replica"
)

func TestEvacuationsReplace(t *testing.T) {
	var e discovery.Evacuations
	begun, ended := e.Replace(replica.Position{Version: 5}, []string{"b", "a"})
	must.Eq(t, []string{"a", "b"}, begun)
	must.SliceEmpty(t, ended)
	begun, ended = e.Replace(replica.Position{Version: 7}, []string{"b"})
	must.SliceEmpty(t, begun)
	must.Eq(t, []string{"a"}, ended)
	must.Eq(t, []string{"b"}, e.List())
	must.True(t, e.Has("b"))
	must.False(t, e.Has("a"))
}

// A delayed notice from before an evacuation must not end it.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	var e discovery.Evacuations
	e.Replace(replica.Position{Version: 7}, []string{"a"})
	begun, ended := e.Replace(replica.Position{Version: 6}, nil)
	must.SliceEmpty(t, begun)
	must.SliceEmpty(t, ended)
	must.True(t, e.Has("a"))
}
