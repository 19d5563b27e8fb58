package memory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/memory"
)

const mb = 1 << 20

// step is a call of Reserve, or of Release if release is set, at a time.
type step struct {
	at        time.Duration
	workspace string
	kind      memory.Kind
	bytes     int64
	release   bool
	fits      bool
}

func TestReserve(t *testing.T) {
	for _, c := range []struct {
		// name is the failure that the case guards against.
		name  string
		steps []step
	}{
		{"long bodies take more than the limit", []step{
			{workspace: "a", kind: memory.Response, bytes: 20 * mb, fits: true},
			{workspace: "a", kind: memory.Response, bytes: 20 * mb, fits: true},
			{workspace: "a", kind: memory.Response, bytes: mb, fits: false},
		}},
		{"small bodies are refused because of long ones", []step{
			{workspace: "a", kind: memory.Response, bytes: 40 * mb, fits: true},
			{workspace: "a", kind: memory.Request, bytes: memory.SmallBodyBytes, fits: true},
			{workspace: "b", kind: memory.Request, bytes: memory.SmallBodyBytes, fits: true},
			{workspace: "b", kind: memory.Request, bytes: memory.SmallBodyBytes + 1, fits: false},
		}},
		{"request bodies leave no room for the responses of requests that were run", []step{
			{workspace: "a", kind: memory.Request, bytes: 34 * mb, fits: true},
			{workspace: "a", kind: memory.Request, bytes: mb, fits: false},
			{workspace: "a", kind: memory.Response, bytes: 6 * mb, fits: true},
		}},
		{"a workspace takes all while others hold some", []step{
			{workspace: "b", kind: memory.Request, bytes: mb, fits: true},
			{workspace: "a", kind: memory.Request, bytes: 17*mb + 1, fits: false},
			{workspace: "a", kind: memory.Request, bytes: 17 * mb, fits: true},
			{workspace: "a", kind: memory.Response, bytes: 3*mb + 1, fits: false},
			{workspace: "a", kind: memory.Response, bytes: 3 * mb, fits: true},
			{workspace: "a", kind: memory.Response, bytes: mb, fits: false},
			{workspace: "b", kind: memory.Request, bytes: mb, fits: true},
		}},
		{"a workspace that took all while it was alone takes more after others were refused", []step{
			{workspace: "a", kind: memory.Response, bytes: 38 * mb, fits: true},
			{workspace: "b", kind: memory.Request, bytes: 4 * mb, fits: false},
			{workspace: "a", kind: memory.Response, bytes: 10 * mb, release: true},
			{at: time.Second, workspace: "a", kind: memory.Response, bytes: mb, fits: false},
			{at: time.Second, workspace: "b", kind: memory.Request, bytes: 2 * mb, fits: true},
		}},
		{"memory lies idle because of a workspace that no longer needs any", []step{
			{workspace: "a", kind: memory.Response, bytes: 38 * mb, fits: true},
			{workspace: "b", kind: memory.Request, bytes: 4 * mb, fits: false},
			{at: 2 * time.Second, workspace: "a", kind: memory.Response, bytes: mb, fits: true},
		}},
		{"released bytes count on", []step{
			{workspace: "a", kind: memory.Request, bytes: 30 * mb, fits: true},
			{workspace: "a", kind: memory.Request, bytes: 30 * mb, release: true},
			{workspace: "b", kind: memory.Request, bytes: 30 * mb, fits: true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := memory.NewAccount(160 * mb)
			for i, s := range c.steps {
				if s.release {
					a.Release(s.workspace, s.kind, s.bytes)
					continue
				}
				must.Eq(t, s.fits, a.Reserve(s.workspace, s.kind, s.bytes, s.at), must.Sprint("step ", i))
			}
		})
	}
}

// Guards against request bodies of a workspace that leave no room for the responses of its requests
// that were run, while half of the limit is free.
func TestWorkspaceRequestsLeaveRoomForItsResponses(t *testing.T) {
	a := memory.NewAccount(136 * mb)
	must.True(t, a.Reserve("b", memory.Request, 100<<10, 0))
	accepted := 0
	for a.Reserve("a", memory.Request, 2*mb, 0) {
		accepted++
	}
	must.True(t, a.Reserve("a", memory.Response, 3*mb/2, 0), must.Sprint(accepted, " requests accepted"))
	must.Eq(t, 7, accepted)
}

// Guards against metrics that miss bytes or count them after their release.
func TestHeldBytesByKind(t *testing.T) {
	a := memory.NewAccount(160 * mb)
	must.Eq(t, 40*mb, a.LimitBytes())
	must.True(t, a.Reserve("a", memory.Request, 3*mb, 0))
	must.True(t, a.Reserve("b", memory.Response, 1000, 0))
	must.Eq(t, 3*mb, a.Held(memory.Request))
	must.Eq(t, 1000, a.Held(memory.Response))
	must.False(t, a.Reserve("b", memory.Request, 40*mb, 0))
	must.Eq(t, 1, a.Refused())
	a.Release("a", memory.Request, 3*mb)
	a.Release("b", memory.Response, 1000)
	must.Zero(t, a.Held(memory.Request))
	must.Zero(t, a.Held(memory.Response))
}

// Guards against requests that are refused on a machine of unknown size, and responses without bound.
func TestUnknownSizeBoundsResponsesOnly(t *testing.T) {
	a := memory.NewAccount(0)
	must.True(t, a.Reserve("a", memory.Request, 100*mb, 0))
	must.True(t, a.Reserve("b", memory.Response, 32*mb, 0))
	must.False(t, a.Reserve("c", memory.Response, mb, 0))
}

// Guards against small bodies that are accepted without end because they are small.
func TestSmallRequestsAreBounded(t *testing.T) {
	a := memory.NewAccount(136 << 20)
	held := int64(0)
	for a.Reserve("w", memory.Request, memory.SmallBodyBytes, 0) {
		held += memory.SmallBodyBytes
	}
	must.Greater(t, a.LimitBytes(), held)
	must.LessEq(t, 2*a.LimitBytes(), held)
	must.True(t, a.Reserve("w", memory.Response, memory.SmallBodyBytes, 0))
	must.False(t, a.Reserve("v", memory.Request, 1<<20, 0))
	a.Release("w", memory.Request, held)
	must.True(t, a.Reserve("w", memory.Request, 1<<20, 0))
}
