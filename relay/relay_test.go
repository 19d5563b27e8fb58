package relay_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/relay"
)

// hub returns the hub of instance 1 in data centre "here".
func hub(members *[]relay.Member) *relay.Hub {
	return relay.NewHub(relay.Member{ID: 1, DataCentre: "here", SlowLink: true}, func() []relay.Member { return *members })
}

// remoteReceivers publishes a message and returns the receivers in other data
// centres.
func remoteReceivers(h *relay.Hub, urgent bool, now time.Duration) (to []uint32) {
	h.Publish(1, []byte("message"), urgent, now)
	for _, d := range h.Step(now) {
		if d.Kind == relay.RemoteForward {
			to = append(to, d.To...)
		}
	}
	return to
}

// Sending rounds takes thirty times the bandwidth of an instance's own
// messages. A relay with a slow link loses two messages of five for its whole
// data centre.
func TestRelaysHaveFastLinks(t *testing.T) {
	var members []relay.Member
	for id := uint32(2); id < 22; id++ {
		members = append(members, relay.Member{ID: id, DataCentre: "there", Alive: true, SlowLink: id%4 != 0})
	}
	fast := func(id uint32) bool { return members[id-2].Alive && !members[id-2].SlowLink }
	first := remoteReceivers(hub(&members), true, time.Second)
	must.Len(t, 2, first)
	for _, id := range first {
		must.True(t, fast(id))
		members[id-2].Alive = false
	}
	second := remoteReceivers(hub(&members), true, time.Second)
	must.Len(t, 2, second)
	for _, id := range second {
		must.True(t, fast(id))
	}
	must.Len(t, 1, remoteReceivers(hub(&members), false, time.Second))
}

// If a data centre has only slow links, because no member has a fast one or
// those with fast links have failed, the load of sending rounds is shared.
func TestSlowLinksShareTheLoad(t *testing.T) {
	var members []relay.Member
	for id := uint32(2); id < 40; id++ {
		members = append(members, relay.Member{ID: id, DataCentre: "here", Alive: true, SlowLink: true})
	}
	used := make(map[uint32]bool)
	for id := uint32(2); id < 40; id++ {
		others := append([]relay.Member{{ID: 1, DataCentre: "here", Alive: true, SlowLink: true}}, members...)
		others = append(others[:id-1:id-1], others[id:]...)
		h := relay.NewHub(relay.Member{ID: id, DataCentre: "here", SlowLink: true}, func() []relay.Member { return others })
		h.Publish(1, []byte("message"), false, time.Second)
		used[h.Relay()] = true
	}
	must.Eq(t, 6, len(used))
}

// A message that does not return is resent to the same relay once and then sent
// to another one, until its sender receives it back.
func TestMessageIsResentUntilItReturns(t *testing.T) {
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

// A relay of another data centre fails. The messages that it did not
// acknowledge are sent to another relay there.
func TestUnacknowledgedMessagesGoToAnotherRelay(t *testing.T) {
	members := []relay.Member{{ID: 2, DataCentre: "there", Alive: true}, {ID: 3, DataCentre: "there", Alive: true}}
	h := hub(&members)
	now := time.Second
	first := remoteReceivers(h, false, now)
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

// A round of hundreds of messages is split into datagrams that links carry
// without fragmentation, and all messages arrive.
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
