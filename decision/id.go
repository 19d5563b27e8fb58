package decision

import (
	"strconv"
	"strings"
	"time"
)

const (
	// instancePrefixLength is how many characters of an instance's id a request
	// id repeats. Instance ids are UUIDs: eight characters are 32 bits.
	instancePrefixLength = 8
	idBase         = 36
	maxIDLength    = 64
)

// NewRequestID returns the id of an instance's n-th request. It holds the
// start of the instance's id and the time of arrival, so that whoever looks
// for its record reads one instance's batches of one hour and no others.
func NewRequestID(instance string, at time.Time, n uint64) string {
	return strings.Join([]string{
		instancePrefix(instance),
		strconv.FormatInt(at.UnixMilli(), idBase),
		strconv.FormatUint(n, idBase),
	}, ".")
}

// RequestID is what a request id tells.
type RequestID struct {
	// InstancePrefix is the start of the instance's id.
	InstancePrefix string
	// At is the time of arrival, in milliseconds.
	At time.Time
	// N is the request's number at that instance.
	N uint64
}

// ParseRequestID reads an id made by NewRequestID. It returns false for
// anything else.
func ParseRequestID(id string) (RequestID, bool) {
	fields := strings.Split(id, ".")
	if len(id) > maxIDLength || len(fields) != 3 || fields[0] == "" {
		return RequestID{}, false
	}
	ms, err := strconv.ParseInt(fields[1], idBase, 64)
	if err != nil || ms < 0 {
		return RequestID{}, false
	}
	n, err := strconv.ParseUint(fields[2], idBase, 64)
	if err != nil {
		return RequestID{}, false
	}
	return RequestID{InstancePrefix: fields[0], At: time.UnixMilli(ms).UTC(), N: n}, true
}

// sanitizeInstance makes an instance's id usable between dots and slashes. Usual ids,
// UUIDs, stay as they are.
func sanitizeInstance(instance string) string {
	return strings.NewReplacer(".", "-", "/", "-").Replace(instance)
}

func instancePrefix(instance string) string {
	instance = sanitizeInstance(instance)
	if len(instance) > instancePrefixLength {
		return instance[:instancePrefixLength]
	}
	return instance
}
