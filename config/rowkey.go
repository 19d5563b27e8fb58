package config

import (
	"encoding/hex"
	"strings"
)

// Row keys are kept packed: the hash in the key of a key's row, which is 64
// hex digits, takes 32 bytes. At 55,000 keys that is 1.7 MB.
const (
	// hashTag begins the packed key of a key's row; the hash follows.
	hashTag = "\x00"
	// escapeTag begins a packed key that would otherwise look packed.
	escapeTag = "\x01"
)

func packKey(key string) string {
	if h, ok := parseHash(key); ok {
		return packHash(h)
	}
	if strings.HasPrefix(key, hashTag) || strings.HasPrefix(key, escapeTag) {
		return escapeTag + key
	}
	return key
}

func packHash(h KeyHash) string { return hashTag + string(h[:]) }

func unpackKey(packed string) string {
	if hash, ok := strings.CutPrefix(packed, hashTag); ok {
		return APIKeyPrefix + hex.EncodeToString([]byte(hash))
	}
	return strings.TrimPrefix(packed, escapeTag)
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
