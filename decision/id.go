package decision

import (
	"strconv"
	"strings"
	"time"
)

const (
	// instancePrefixLength is the length of the prefix of the instance id in
	// a request id. Instance ids are UUIDs, so eight characters are 32 bits.
	instancePrefixLength = 8
	idBase               = 36
	maxIDLength          = 64
)

// NewRequestID returns the id of an instance's n-th request. It includes a
// prefix of the instance's id and the time of arrival, so that finding the
// record takes reading only one instance's batches of one hour.
func NewRequestID(instance string, at time.Time, n uint64) string {
	return strings.Join([]string{
		instancePrefix(instance),
		strconv.FormatInt(at.UnixMilli(), idBase),
		strconv.FormatUint(n, idBase),
	}, ".")
}

// RequestID is a parsed request id.
type RequestID struct {
	// InstancePrefix is a prefix of the instance's id.
	InstancePrefix string
	// At is the time of arrival, in whole milliseconds.
	At time.Time
	// N is the sequence number of the request at the instance.
	N uint64
}

// ParseRequestID parses an id made by NewRequestID. It returns false if the id
// has another form.
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

// sanitizeInstance replaces the separators of request ids and object names in
// an instance's id. UUIDs have none and are returned unchanged.
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
