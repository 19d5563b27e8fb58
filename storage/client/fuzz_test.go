package client

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// staticResponse is a transport that returns the same response to every request.
type staticResponse struct {
	status  int
	problem bool
	body    []byte
}

func (a staticResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if a.problem {
		header.Set("Content-Type", "application/problem+json")
	}
	return &http.Response{
		StatusCode: a.status, Header: header, Body: io.NopCloser(bytes.NewReader(a.body)), Request: r,
	}, nil
}

// FuzzResponses passes arbitrary responses to the client. A write may be reported
// as committed or conflicting only if the response says so; any other response
// leaves its outcome unknown or is reported as an error.
func FuzzResponses(f *testing.F) {
	f.Add(uint16(100), false, []byte(`{"revisions":[{"table":"control","revision":7}]}`))
	f.Add(uint16(100), false, []byte(`{"revision":3,"rows":[{"key":"k","value":"AA==","revision":2,"attempt":"a"}],"full":true}`))
	f.Add(uint16(100), false, []byte(`{"revision":-1,"rows":[]}`))
	f.Add(uint16(100), false, []byte(`{"revisions":[{"table":"audit","revision":7}]}`))
	f.Add(uint16(100), false, []byte(`{"revision":9,"rows":[{"key":"k","revision":10,"attempt":"a"}]}`))
	f.Add(uint16(100), false, []byte(`{"revision":9,"rows":[{"key":"k","revision":2,"attempt":"a"}]}`))
	f.Add(uint16(100), false, []byte(`{"revision":9,"rows":[{"key":"l","revision":3,"attempt":"a"}]}`))
	f.Add(uint16(100), false, []byte(`{"revision":9,"rows":[{"key":"k","revision":3,"attempt":"a"}]}`))
	f.Add(uint16(309), false, []byte(`{"current":[{"key":"k","revision":2,"attempt":"a","deleted":true}]}`))
	f.Add(uint16(300), true, []byte(`{"title":"Bad Request","status":400,"detail":"x"}`))
	f.Add(uint16(300), true, []byte(`{"title":`))
	f.Add(uint16(329), true, []byte(`{"title":"Too Many Requests","status":429}`))
	f.Add(uint16(403), true, []byte(`{"title":"x","status":400}`))
	f.Add(uint16(104), false, []byte{})
	f.Add(uint16(207), false, []byte{})
	f.Fuzz(func(t *testing.T, status uint16, problem bool, body []byte) {
		a := staticResponse{status: 100 + int(status)%500, problem: problem, body: body}
		api, err := oas.NewClient("http://127.0.0.1:1", oas.WithClient(&http.Client{Transport: a, CheckRedirect: rejectRedirects}))
		must.NoError(t, err)
		c := &Client{api: api, timeout: DefaultTimeout}

		txn := storage.Txn{Attempt: "a", Puts: []storage.Put{{Table: storage.Control, Key: "k"}}}
		w, err := c.Write(t.Context(), txn)
		must.True(t, w.Outcome != storage.Committed || a.status == http.StatusOK && w.Revisions[storage.Control] > 0)
		must.True(t, w.Outcome != storage.Conflict || a.status == http.StatusConflict)
		if err != nil {
			must.Eq(t, storage.Unknown, w.Outcome)
			must.Between(t, 400, a.status, 499)
		}
		changes, err := c.Read(t.Context(), storage.ReadRequest{Table: storage.Control, Since: 2, Prefix: "k"})
		must.True(t, err != nil || a.status == http.StatusOK)
		must.True(t, err == nil || changes.Revision == 0)
		for _, row := range changes.Rows {
			must.Between(t, 3, row.Revision, changes.Revision)
			must.StrHasPrefix(t, "k", row.Key)
		}
	})
}
