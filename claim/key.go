package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is returned for text that is not a well-formed operation key.
var ErrMalformed = errors.New("claim: malformed operation key")

// keyVersion is the first field of every operation key.
const keyVersion = "op1"

const (
	keyFields   = 6
	tagBytes    = 8
	macBytes    = 16
	maxKeyBytes = 256
)

// OperationKey is a parsed operation key. Its MAC has not been verified.
type OperationKey struct {
	// Minter is the incarnation id of the instance that minted the key.
	Minter string
	// Number is unique among the minter's keys.
	Number uint64
	// Expires is the time on the minter's clock from which the key is not run any more.
	Expires time.Duration
	// tag binds the key to a workspace.
	tag string
	mac string
}

// Parse parses the text form of an operation key, so that any instance can find
// the minter. Only the minter can verify the MAC.
func Parse(text string) (OperationKey, error) {
	fields := strings.Split(text, ".")
	if len(text) > maxKeyBytes || len(fields) != keyFields || fields[0] != keyVersion {
		return OperationKey{}, errors.WithStack(ErrMalformed)
	}
	number, errNumber := strconv.ParseUint(fields[2], 36, 64)
	expires, errExpires := strconv.ParseInt(fields[3], 36, 64)
	if fields[1] == "" || errNumber != nil || errExpires != nil {
		return OperationKey{}, errors.WithStack(ErrMalformed)
	}
	k := OperationKey{
		Minter:  fields[1],
		Number:  number,
		Expires: time.Duration(expires),
		tag:     fields[4],
		mac:     fields[5],
	}
	if k.String() != text {
		return OperationKey{}, errors.WithStack(ErrMalformed)
	}
	return k, nil
}

// IsOperationKey reports whether text has the prefix of operation keys, as
// opposed to a caller-supplied key.
func IsOperationKey(text string) bool {
	return strings.HasPrefix(text, keyVersion+".")
}

// String returns the text form, which Parse accepts.
func (k OperationKey) String() string {
	return k.signedPart() + "." + k.mac
}

// signedPart returns the part of the text that the MAC covers.
func (k OperationKey) signedPart() string {
	return strings.Join([]string{
		keyVersion,
		k.Minter,
		strconv.FormatUint(k.Number, 36),
		strconv.FormatInt(int64(k.Expires), 36),
		k.tag,
	}, ".")
}

// workspaceTag identifies the workspace in a key without disclosing its name.
func workspaceTag(secret []byte, workspace string) string {
	return truncatedHMAC(secret, "workspace\x00"+workspace, tagBytes)
}

func keyMAC(secret []byte, signedPart string) string {
	return truncatedHMAC(secret, "key\x00"+signedPart, macBytes)
}

func truncatedHMAC(secret []byte, text string, length int) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return hex.EncodeToString(h.Sum(nil)[:length])
}
