package command

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseLinks checks that parseLinks returns either links or an error.
func FuzzParseLinks(f *testing.F) {
	for _, text := range []string{
		`[{"name":"a","listen":"127.0.0.1:1","to":"127.0.0.1:2"}, /* c */ ]`,
		`[]`, `[{"nam":"a"}]`, `{}`, `[{"name":"a"}`, "[{}] x", "null",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		options, err := parseLinks(text)
		must.Eq(t, err != nil, len(options) == 0)
	})
}
