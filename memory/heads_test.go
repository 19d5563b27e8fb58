package memory_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/memory"
)

// Guards against callers that send long heads and so keep out those that send ordinary ones.
func TestLongHeadsLeaveRoomForSmallOnes(t *testing.T) {
	const long = 1 << 20
	h := memory.NewHeads(136 << 20)
	taken := 0
	for h.Reserve(long) {
		taken += long
	}
	must.Greater(t, 4*long, taken)
	must.GreaterEq(t, h.LimitBytes()/5, h.LimitBytes()-h.Held())
	for range 100 {
		must.True(t, h.Reserve(memory.SmallHeadBytes))
	}
	h.Release(taken)
	must.True(t, h.Reserve(long))
	must.Eq(t, 1, h.Refused())
}

// Guards against an account that is without bound if the machine's memory is unknown.
func TestHeadsAreBoundedOnAMachineOfUnknownSize(t *testing.T) {
	h := memory.NewHeads(0)
	for h.Reserve(memory.SmallHeadBytes) {
	}
	must.Positive(t, h.Held())
	must.LessEq(t, 16<<20, h.Held())
}
