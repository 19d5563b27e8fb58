package edge

import (
	"bytes"
	"encoding/gob"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// Guards against messages within the limit that are refused, and against longer ones that are believed.
func TestGobFramesBoundMessages(t *testing.T) {
	for _, size := range []int{0, 1, 100, 127, 128, 300, 60000} {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		for range 3 {
			must.NoError(t, e.Encode(Packed{Data: []byte(strings.Repeat("x", size))}))
		}
		whole := b.Bytes()
		for _, r := range []io.Reader{bytes.NewReader(whole), iotest.OneByteReader(bytes.NewReader(whole))} {
			d := gob.NewDecoder(&gobFrames{r: r, max: 64 << 10})
			for range 3 {
				var p Packed
				must.NoError(t, d.Decode(&p))
				must.Eq(t, size, len(p.Data))
			}
		}
		if size > 1000 {
			var p Packed
			must.ErrorIs(t, gob.NewDecoder(&gobFrames{r: bytes.NewReader(whole), max: 1000}).Decode(&p), errFrameTooLarge)
		}
	}
	for _, prefix := range []string{"\xfd\x89\x54\x40", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\x80", "\xf7"} {
		_, err := io.ReadAll(&gobFrames{r: strings.NewReader(prefix), max: 64 << 10})
		must.ErrorIs(t, err, errFrameTooLarge)
	}
}
