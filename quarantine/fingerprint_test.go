package quarantine_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/quarantine"
)

// Guards against two requests with one fingerprint: the sound one would be withheld.
func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	seen := make(map[quarantine.Fingerprint]bool)
	for _, r := range [][4]string{
		{"GET", "h", "/a", ""},
		{"HEAD", "h", "/a", ""},
		{"GET", "h", "/a?b", ""},
		{"GET", "h/", "a", ""},
		{"GET", "g", "/a", ""},
		{"GET", "h", "/a", "x"},
		{"GET", "h", "/ax", ""},
	} {
		f := quarantine.FingerprintOf(r[0], r[1], r[2], []byte(r[3]))
		must.False(t, seen[f])
		seen[f] = true
		must.Eq(t, f, quarantine.FingerprintOf(r[0], r[1], r[2], []byte(r[3])))
	}
}
