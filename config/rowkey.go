package config

import (
	"encoding/hex"
	"strings"
)

// Row keys are kept packed: the hash in the key of a key's row, which is 64
// hex digits, takes 32 bytes. At 55,000 keys that is 1.7 MB.
const (
	// packedHash begins the packed key of a key's row; the hash follows.
	packedHash = "\x00"
	// packedPlain begins a packed key that would otherwise look packed.
	packedPlain = "\x01"
)

func packKey(key string) string {
	if h, ok := parseHash(key); ok {
		return packHash(h)
	}
	if strings.HasPrefix(key, packedHash) || strings.HasPrefix(key, packedPlain) {
		return packedPlain + key
	}
	return key
}

func packHash(h KeyHash) string { return packedHash + string(h[:]) }

func unpackKey(packed string) string {
	if hash, ok := strings.CutPrefix(packed, packedHash); ok {
		return APIKeyPrefix + hex.EncodeToString([]byte(hash))
	}
	return strings.TrimPrefix(packed, packedPlain)
}

// parseHash returns the hash of a key's row in the one spelling that is
// written. Another spelling is another row, and no key's.
func parseHash(key string) (KeyHash, bool) {
	digits, ok := strings.CutPrefix(key, APIKeyPrefix)
	var h KeyHash
	if !ok || len(digits) != hex.EncodedLen(len(h)) {
		return h, false
	}
	if _, err := hex.Decode(h[:], []byte(digits)); err != nil {
		return h, false
	}
	return h, hex.EncodeToString(h[:]) == digits
}
