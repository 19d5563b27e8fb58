package config

import (
	"encoding/hex"
	"strings"
)

// Row keys are packed in memory: the hash in the row key of an API key, 64 hex
// digits, is stored as 32 bytes. This saves 1.7 MB for 55,000 API keys.
const (
	// hashTag marks the packed row key of an API key; the hash follows.
	hashTag = "\x00"
	// escapeTag precedes a row key that begins with one of the tags itself.
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

// parseHash returns the hash in the row key of an API key. Only the canonical
// spelling in lower-case hex is accepted; any other spelling is a different row
// that belongs to no API key.
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
