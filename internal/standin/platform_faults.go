package standin

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

// DownMode is how a platform service fails while it is down.
type DownMode string

const (
	// DownNone means that the service is up.
	DownNone DownMode = ""
	// DownClosed closes the connection without a response.
	DownClosed DownMode = "closed"
	// DownSilent keeps the connection open and sends no response.
	DownSilent DownMode = "silent"
	// DownError responds with status 503.
	DownError DownMode = "error"
)

// PlatformFaults are the faults that a Platform can inject. The zero value
// injects none.
type PlatformFaults struct {
	Table     TableFaults    `json:"table"`
	Objects   ServiceFaults  `json:"objects"`
	Instances InstanceFaults `json:"instances"`
}

// ServiceFaults are the faults that each of the platform's three services has.
type ServiceFaults struct {
	// Down is "closed", "silent" or "error"; empty means that the service is
	// up.
	Down DownMode `json:"down"`
	// Delay is the time before a request is processed, such as "250ms". A
	// write still takes effect after it if the client has disconnected in the
	// meantime.
	Delay config.Duration `json:"delay"`
	// DropResponses is the number of upcoming writes that take effect but get
	// no response.
	DropResponses int `json:"loseAnswers"`
	// DropResponseRatio is the share of writes, from 0 to 1, that take effect
	// but get no response.
	DropResponseRatio float64 `json:"loseAnswersRatio"`
	// DropWrites is the number of upcoming writes that are dropped before they
	// take effect. To the client they look the same as those of DropResponses.
	DropWrites int `json:"loseWrites"`
	// MaxReadsPerSecond and MaxWritesPerSecond are rate limits. Requests
	// above them get status 429 and have no effect. 0 means no limit.
	MaxReadsPerSecond  int `json:"maxReads"`
	MaxWritesPerSecond int `json:"maxWrites"`
}

// TableFaults are the faults of the table service.
type TableFaults struct {
	ServiceFaults
	// StaleReads serves reads from a copy of the tables made when the fault
	// was switched on. This violates the platform's consistency guarantees.
	StaleReads bool `json:"oldCopy"`
}

// InstanceFaults are the faults of the list of instances.
type InstanceFaults struct {
	ServiceFaults
	// Lag is the delay before the list shows a change, such as "2s".
	Lag config.Duration `json:"lag"`
	// Frozen keeps the list from showing new changes.
	Frozen bool `json:"frozen"`
}

func (f PlatformFaults) validate() error {
	for _, s := range []ServiceFaults{f.Table.ServiceFaults, f.Objects, f.Instances.ServiceFaults} {
		switch s.Down {
		case DownNone, DownClosed, DownSilent, DownError:
		default:
			return errors.Newf("invalid down mode %q: must be closed, silent, error or empty", s.Down)
		}
		if s.Delay < 0 || min(s.DropResponses, s.DropWrites, s.MaxReadsPerSecond, s.MaxWritesPerSecond) < 0 {
			return errors.New("delays, counts and rate limits must not be negative")
		}
		if !(s.DropResponseRatio >= 0 && s.DropResponseRatio <= 1) {
			return errors.New("loseAnswersRatio must be between 0 and 1")
		}
	}
	if f.Instances.Lag < 0 {
		return errors.New("lag must not be negative")
	}
	return nil
}

// service is one of the platform's three services.
type service int

const (
	tableService service = iota
	objectService
	instanceService
	serviceCount
)

// serviceForRequest returns the service that a request is addressed to, by its
// path.
func serviceForRequest(r *http.Request) service {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/objects"):
		return objectService
	case strings.HasPrefix(r.URL.Path, "/v1/instances"):
		return instanceService
	default:
		return tableService
	}
}

func (f *PlatformFaults) forService(s service) *ServiceFaults {
	switch s {
	case objectService:
		return &f.Objects
	case instanceService:
		return &f.Instances.ServiceFaults
	default:
		return &f.Table.ServiceFaults
	}
}
