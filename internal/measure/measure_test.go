package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func serve(t *testing.T, answer http.HandlerFunc) *Target {
	t.Helper()
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	return NewTarget([]string{strings.TrimPrefix(s.URL, "http://")}, "/lookup", nil)
}

// The route through the entry takes 30 ms longer and refuses every tenth request. Refusals must
// not count as fast answers.
func TestRun(t *testing.T) {
	number := 0
	p := Pair{
		Direct: serve(t, func(http.ResponseWriter, *http.Request) {}),
		Through: serve(t, func(w http.ResponseWriter, _ *http.Request) {
			number++
			if number%10 == 0 {
				w.Header().Set(outcomeHeader, "not-run")
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			time.Sleep(30 * time.Millisecond)
		}),
		PID: os.Getpid(),
	}
	defer p.Close()
	p.Through.http.Transport.(*http.Transport).MaxConnsPerHost = 1
	step, err := p.Run(context.Background(), 20, time.Second)
	must.NoError(t, err)
	must.Eq(t, Count{Served: 20}, step.DirectCount)
	must.Eq(t, Count{Served: 18, Refused: 2}, step.ThroughCount)
	must.GreaterEq(t, 30_000, step.Through.P50)
	must.Eq(t, step.Through.P99-step.Direct.P99, step.Added.P99)
	must.Positive(t, step.ResidentBytes)

	var table, data bytes.Buffer
	must.NoError(t, WriteTable(&table, []Step{step}))
	must.StrContains(t, table.String(), "difference of the quantiles")
	must.NoError(t, WriteJSON(&data, []Step{step}))
	var again []Step
	must.NoError(t, json.Unmarshal(data.Bytes(), &again))
	must.Eq(t, step, again[0])
}

func TestParseUsage(t *testing.T) {
	stat := "7 (a (b) c) S 1 7 7 0 -1 4194304 1 0 0 0 150 50 0 0 20 0 9 0 100 1000000 300 18446744073709551615"
	u, err := parseUsage([]byte(stat))
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, u.cpuTime)
	must.Eq(t, 300*int64(os.Getpagesize()), u.resident)
	_, err = parseUsage([]byte("7 (a) S 1"))
	must.Error(t, err)
}
