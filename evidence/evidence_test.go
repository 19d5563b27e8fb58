package evidence_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
)

func message() evidence.Message {
	return evidence.Message{
		Source: 0x0a000001, Epoch: 7, Sequence: 9, DataCentre: "dc", Leaving: true, Known: []uint32{1},
		Attempts: []evidence.Attempt{{Server: 3, Outstanding: 2, Ended: true, Result: health.Incomplete, Final: evidence.Unserved}},
		Usage:    []evidence.Usage{{Workspace: 4, Count: 1 << 40}},
		Notices: []evidence.Notice{{
			Table: evidence.Servers, Since: 1, Version: 2, StampUS: 3,
			Rows: []evidence.Row{{Key: "k", Value: []byte("v"), Gone: true}},
		}},
		Refused: []uint32{5},
	}
}

func encode(t *testing.T, m evidence.Message) []byte {
	t.Helper()
	b, err := evidence.Encode(m)
	must.NoError(t, err)
	return b
}

func TestDatagramCarriesSeveralMessages(t *testing.T) {
	second := evidence.Message{Source: 2}
	d := evidence.Datagram(true, encode(t, message()), encode(t, second))
	got, handOn, err := evidence.Decode(d)
	must.NoError(t, err)
	must.True(t, handOn)
	must.Eq(t, []evidence.Message{message(), second}, got)
}

func TestBrokenDatagramsAreRefusedWhole(t *testing.T) {
	good := evidence.Datagram(false, encode(t, message()))
	for _, d := range [][]byte{nil, {0}, {0, 0xff}, good[:len(good)-1], append(good[:len(good):len(good)], 0xff)} {
		got, _, err := evidence.Decode(d)
		must.Error(t, err)
		must.Len(t, 0, got)
	}
}

// What one attempt costs on the links between data centres.
func TestMessageOfAnAttemptIsSmall(t *testing.T) {
	m := evidence.Message{
		Source: 0x0a000001, Epoch: 1800000000, Sequence: 100000,
		Attempts: []evidence.Attempt{{Server: 0xdeadbeef, Outstanding: 3, Number: 1}},
		Usage:    []evidence.Usage{{Workspace: 0xdeadbeef, Count: 100000}},
	}
	must.Less(t, 64, len(encode(t, m)))
}

func FuzzDecode(f *testing.F) {
	b, err := evidence.Encode(message())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(evidence.Datagram(true, b))
	f.Fuzz(func(t *testing.T, d []byte) {
		messages, _, err := evidence.Decode(d)
		if err == nil {
			must.SliceNotEmpty(t, messages)
		}
	})
}
