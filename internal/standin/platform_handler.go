package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"foxtailspoke/api/platform/convert"
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/internal/standin/instances"
	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/storage"
)

// platformHandler implements the platform's API on the in-memory stores.
type platformHandler struct{ platform *Platform }

var _ oas.Handler = platformHandler{}

var errIDMismatch = errors.New("the id in the path differs from the body's")

func (h platformHandler) ReadRows(_ context.Context, params oas.ReadRowsParams) (*oas.Changes, error) {
	c, err := h.platform.tablesForReads().Read(storage.ReadRequest{
		Table:  storage.TableName(params.Table),
		Since:  storage.Revision(params.Since.Or(0)),
		Prefix: params.Prefix.Or(""),
	})
	if err != nil {
		return nil, err
	}
	return convert.ChangesToAPI(c), nil
}

func (h platformHandler) WriteTransaction(_ context.Context, req *oas.Transaction) (oas.WriteTransactionRes, error) {
	result, err := h.platform.tables.Write(convert.TxnFromAPI(req))
	if err != nil {
		return nil, err
	}
	if result.Outcome == storage.Conflict {
		return &oas.Conflict{Current: convert.RowsToAPI(result.Current)}, nil
	}
	return &oas.Committed{Revisions: convert.RevisionsToAPI(result.Revisions)}, nil
}

func (h platformHandler) ListObjects(_ context.Context, params oas.ListObjectsParams) (*oas.ObjectNames, error) {
	return &oas.ObjectNames{Names: h.platform.objects.names(params.Prefix.Or(""))}, nil
}

func (h platformHandler) GetObject(_ context.Context, params oas.GetObjectParams) (oas.GetObjectRes, error) {
	data, ok := h.platform.objects.get(string(params.Name))
	if !ok {
		return &oas.GetObjectNotFound{}, nil
	}
	return &oas.Object{Data: data}, nil
}

func (h platformHandler) PutObject(_ context.Context, req *oas.Object, params oas.PutObjectParams) error {
	h.platform.objects.put(string(params.Name), req.Data)
	return nil
}

func (h platformHandler) ListInstances(_ context.Context, params oas.ListInstancesParams) (*oas.InstanceChanges, error) {
	faults := h.platform.Faults().Instances
	c := h.platform.instances.Changes(time.Since(h.platform.startTime), params.Since.Or(0), time.Duration(faults.Lag), faults.Frozen)
	return convert.InstanceChangesToAPI(c), nil
}

func (h platformHandler) AnnounceInstance(_ context.Context, req *oas.Instance, params oas.AnnounceInstanceParams) error {
	if req.ID != params.ID {
		return errIDMismatch
	}
	return h.platform.instances.Announce(time.Since(h.platform.startTime), convert.InstanceFromAPI(req))
}

func (h platformHandler) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, tables.ErrMalformed), errors.Is(err, errIDMismatch):
		status = http.StatusBadRequest
	case errors.Is(err, instances.ErrEnded):
		status = http.StatusGone
	}
	return &oas.ProblemStatusCode{StatusCode: status, Response: problem(status, err.Error())}
}

func problem(status int, detail string) oas.Problem {
	return oas.Problem{
		Title:  http.StatusText(status),
		Status: status,
		Detail: oas.NewOptString(detail),
	}
}

// writeProblem responds to requests that were rejected before they reached the
// handler.
func writeProblem(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeProblemStatus(w, ogenerrors.ErrorCode(err), err.Error())
}

func writeProblemStatus(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	body := problem(status, detail)
	_ = json.NewEncoder(w).Encode(&body)
}
