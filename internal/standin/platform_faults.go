package standin

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

// DownMode is how a service of the platform fails while it is down.
type DownMode string

const (
	// DownNone is no failure.
	DownNone DownMode = ""
	// DownClosed closes the connection without an answer.
	DownClosed DownMode = "closed"
	// DownSilent never answers and keeps the connection open.
	DownSilent DownMode = "silent"
	// DownError answers with status 503.
	DownError DownMode = "error"
)

// PlatformFaults are the faults that a platform stand-in can show. The zero
// value is none.
type PlatformFaults struct {
	Table     TableFaults    `json:"table"`
	Objects   ServiceFaults  `json:"objects"`
	Instances InstanceFaults `json:"instances"`
}

// ServiceFaults are those of any of the platform's three services.
type ServiceFaults struct {
	// Down is "closed", "silent" or "error"; empty when up.
	Down DownMode `json:"down"`
	// Delay before the service does anything, like "250ms". A write takes
	// effect after it also if its writer has gone away in the meantime.
	Delay config.Duration `json:"delay"`
	// DropResponses is for how many of the next writes the answer is lost
	// after they took effect.
	DropResponses int `json:"loseAnswers"`
	// DropResponseRatio of writes lose their answer, from 0 to 1.
	DropResponseRatio float64 `json:"loseAnswersRatio"`
	// DropWrites is how many of the next writes are lost before they take
	// effect. Their writers see what they see by LoseAnswers.
	DropWrites int `json:"loseWrites"`
	// MaxReadsPerSecond and MaxWrites a second; those above get status 429 and have
	// no effect. 0 is no limit.
	MaxReadsPerSecond  int `json:"maxReads"`
	MaxWritesPerSecond int `json:"maxWrites"`
}

// TableFaults are those of the table service.
type TableFaults struct {
	ServiceFaults
	// StaleReads answers reads from a copy of the tables made when this was
	// switched on. It breaks what the platform promises.
	StaleReads bool `json:"oldCopy"`
}

// InstanceFaults are those of the list of instances.
type InstanceFaults struct {
	ServiceFaults
	// Lag is how late the list shows a change, like "2s".
	Lag config.Duration `json:"lag"`
	// Frozen stops the list from showing anything new.
	Frozen bool `json:"frozen"`
}

func (f PlatformFaults) validate() error {
	for _, s := range []ServiceFaults{f.Table.ServiceFaults, f.Objects, f.Instances.ServiceFaults} {
		switch s.Down {
		case DownNone, DownClosed, DownSilent, DownError:
		default:
			return errors.Newf("down: %q is none of closed, silent, error", s.Down)
		}
		if s.Delay < 0 || min(s.DropResponses, s.DropWrites, s.MaxReadsPerSecond, s.MaxWritesPerSecond) < 0 {
			return errors.New("delays, counts and limits can't be negative")
		}
		if !(s.DropResponseRatio >= 0 && s.DropResponseRatio <= 1) {
			return errors.New("loseAnswersRatio must be from 0 to 1")
		}
	}
	if f.Instances.Lag < 0 {
		return errors.New("lag can't be negative")
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

// serviceForRequest returns the service that a request is for.
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

// forService returns a service's part forService the faults.
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
