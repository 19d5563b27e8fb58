package relay_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/relay"
)

// hub returns a hub of instance 1 in data centre "here".
func hub(members *[]relay.Member) *relay.Hub {
	return relay.NewHub(relay.Member{ID: 1, DataCentre: "here", SlowLink: true}, func() []relay.Member { return *members })
}

// crossed says something and returns who gets it in other data centres.
func crossed(h *relay.Hub, urgent bool, now time.Duration) (to []uint32) {
	h.Publish(1, []byte("message"), urgent, now)
	for _, d := range h.Step(now) {
		if d.Kind == relay.RemoteForward {
			to = append(to, d.To...)
		}
	}
	return to
}

// Sending rounds takes thirty times the bandwidth of an instance's own messages. A
// relay with a slow link loses two messages of five for a whole data centre.
func TestRelaysHaveFastLinks(t *testing.T) {
	var members []relay.Member
	for id := uint32(2); id < 22; id++ {
		members = append(members, relay.Member{ID: id, DataCentre: "there", Alive: true, SlowLink: id%4 != 0})
	}
	fast := func(id uint32) bool { return members[id-2].Alive && !members[id-2].SlowLink }
	first := crossed(hub(&members), true, time.Second)
	must.Len(t, 2, first)
	for _, id := range first {
		must.True(t, fast(id))
		members[id-2].Alive = false
	}
	second := crossed(hub(&members), true, time.Second)
	must.Len(t, 2, second)
	for _, id := range second {
		must.True(t, fast(id))
	}
	must.Len(t, 1, crossed(hub(&members), false, time.Second))
}

// Links of a data centre are all slow, or its fast instances have died. The load
// of sending rounds is shared then.
func TestSlowLinksShareTheLoad(t *testing.T) {
	var members []relay.Member
	for id := uint32(2); id < 40; id++ {
		members = append(members, relay.Member{ID: id, DataCentre: "here", Alive: true, SlowLink: true})
	}
	told := make(map[uint32]bool)
	for id := uint32(2); id < 40; id++ {
		others := append([]relay.Member{{ID: 1, DataCentre: "here", Alive: true, SlowLink: true}}, members...)
		others = append(others[:id-1:id-1], others[id:]...)
		h := relay.NewHub(relay.Member{ID: id, DataCentre: "here", SlowLink: true}, func() []relay.Member { return others })
		h.Publish(1, []byte("message"), false, time.Second)
		told[h.Relay()] = true
	}
	must.Eq(t, 6, len(told))
}

// A message is told once more to the same relay, and to another one when that
// brings nothing back. Its sender's own messages in a round end the waiting.
func TestWordIsToldUntilItComesBack(t *testing.T) {
	members := []relay.Member{
		{ID: 2, DataCentre: "here", Alive: true}, {ID: 3, DataCentre: "here", Alive: true}, {ID: 4, DataCentre: "here", Alive: true},
	}
	h := hub(&members)
	now := time.Second
	out := h.Publish(1, []byte("message"), false, now)
	must.Len(t, 1, out)
	first := out[0].To[0]
	now = h.Due()
	again := h.Step(now)
	must.Len(t, 1, again)
	must.Eq(t, first, again[0].To[0])
	now = h.Due()
	other := h.Step(now)
	must.Len(t, 1, other)
	must.NotEq(t, first, other[0].To[0])
	h.MessageReturned(other[0].To[0], 1)
	must.Greater(t, time.Hour, h.Due())
}

// A relay of another data centre dies. What it was sent and didn't confirm goes
// to another one there.
func TestUnconfirmedMessagesGoToAnotherRelay(t *testing.T) {
	members := []relay.Member{{ID: 2, DataCentre: "there", Alive: true}, {ID: 3, DataCentre: "there", Alive: true}}
	h := hub(&members)
	now := time.Second
	first := crossed(h, false, now)
	must.Len(t, 1, first)
	var second []relay.Datagram
	for range 4 {
		if second = h.Step(h.Due()); len(second) > 0 {
			break
		}
	}
	must.Len(t, 1, second)
	must.Eq(t, relay.RemoteForward, second[0].Kind)
	must.NotEq(t, first[0], second[0].To[0])
	must.Eq(t, []byte("message"), second[0].Messages)
	h.Receive(relay.Received{From: second[0].To[0], Kind: relay.Ack}, now)
	must.Greater(t, time.Hour, h.Due())
}

// A round of hundreds of messages goes in datagrams that links carry in one
// piece, and all of it arrives.
func TestRoundsFitIntoDatagrams(t *testing.T) {
	members := []relay.Member{{ID: 2, DataCentre: "there", Alive: true}}
	h := hub(&members)
	var all []byte
	for i := range 400 {
		m := fmt.Appendf(nil, "message %d of %x, ", i, i*7919)
		all = append(all, m...)
		h.Publish(uint32(i), m, false, time.Second)
	}
	var got []byte
	for _, d := range h.Step(time.Second) {
		b := d.Encode()
		must.LessEq(t, relay.MaxDatagramBytes, len(b))
		back, err := relay.Decode(b)
		must.NoError(t, err)
		must.Eq(t, relay.RemoteForward, back.Kind)
		got = append(got, back.Messages...)
	}
	must.True(t, bytes.Equal(all, got))
}

func FuzzDecode(f *testing.F) {
	d := relay.Datagram{Kind: relay.Publish, Urgent: true, Messages: bytes.Repeat([]byte("message"), 100)}
	f.Add(d.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := relay.Decode(b)
		if err != nil {
			return
		}
		again, err := relay.Decode(d.Encode())
		must.NoError(t, err)
		must.Eq(t, d.Kind, again.Kind)
		must.True(t, bytes.Equal(d.Messages, again.Messages))
	})
}
