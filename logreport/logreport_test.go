package logreport_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/logreport"
)

var begin = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

// requestLine returns the line of a request that requestLine atMS after begin.
func requestLine(atMS int, id string, status int, rule, more string) string {
	at := begin.Add(time.Duration(atMS) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"time":%q,"event":531,"request":%q,"status":%d,"rule":%q,"aim_ms":300,"route":"r","service":"s",%s}`,
		at, id, status, rule, more) + "\n"
}

// attemptLine returns the line of an attempt that ended atMS after begin.
func attemptLine(atMS int, id, server, result string, tookMS int) string {
	at := begin.Add(time.Duration(atMS) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf(`edge-1 | {"time":%q,"event":532,"request":%q,"server":%q,"service":"s","result":%q,"took_ms":%d}`,
		at, id, server, result, tookMS) + "\n"
}

func report(t *testing.T, lines ...string) logreport.Report {
	t.Helper()
	var l logreport.Lines
	must.NoError(t, l.Read(strings.NewReader(strings.Join(lines, ""))))
	return l.Report()
}

func TestRequestsAreCountedByHowTheyEnded(t *testing.T) {
	r := report(t,
		requestLine(1500, "late", 200, "served", `"took_ms":900,"workspace":"w","server":"a"`),
		requestLine(0, "served", 200, "served", `"took_ms":100,"workspace":"v","server":"a"`),
		requestLine(100, "refused", 503, "no-room", `"took_ms":0,"workspace":"w"`),
		requestLine(1600, "failed", 502, "server-failed", `"took_ms":10,"workspace":"w"`),
		requestLine(1700, "wrong", 404, "no-route", `"took_ms":0`),
		"a line that is none\n", "{broken\n", `{"event":533,"instance":"e","count":7}`+"\n", `{"event":533,"instance":"e","count":9}`+"\n",
	)
	must.Eq(t, logreport.Count{Served: 1, Late: 1, Refused: 1, Failed: 1, ClientErrors: 1}, r.All)
	must.Eq(t, 0.5, r.All.Share())
	must.Eq(t, logreport.Count{Late: 1, Refused: 1, Failed: 1}, r.Workspaces["w"])
	must.Eq(t, logreport.Count{Served: 1, Late: 1}, r.Servers["a"])
	must.Eq(t, map[string]int{"no-room": 1, "server-failed": 1}, r.Rules)
	must.Len(t, 2, r.Seconds)
	must.Eq(t, map[string]int{"server-failed": 1}, r.Seconds[1].Rules)
	must.Eq(t, "w", r.WorstWorkspace)
	must.Eq(t, 9, r.DroppedLines)
	must.Eq(t, 1, r.UnparsedLines)
	var text strings.Builder
	must.NoError(t, r.WriteText(&text))
	must.StrContains(t, text.String(), "no-room 1, server-failed 1")
}

// A server fails two requests, gets one more from an instance that has not
// detected the failure, and is then excluded. A lookup that another server
// answered is not lost. A failure more than a minute later starts a new episode.
func TestFailureEpisodesCountLossesAndDetectionTime(t *testing.T) {
	r := report(t,
		attemptLine(1000, "order", "a", "incomplete", 5), requestLine(1001, "order", 502, "server-failed", `"took_ms":6`),
		attemptLine(1400, "lookup", "a", "timeout", 300), requestLine(1600, "lookup", 200, "served", `"took_ms":200,"server":"b"`),
		requestLine(1900, "late-word", 200, "served", `"took_ms":100,"server":"a"`),
		requestLine(4000, "later", 200, "served", `"took_ms":100,"server":"a"`),
		attemptLine(90_000, "other", "a", "server error", 5), requestLine(90_001, "other", 500, "server-failed", `"took_ms":6`),
		attemptLine(90_100, "own", "a", "connect failed", 5),
	)
	must.Len(t, 2, r.Episodes)
	s := r.Episodes[0]
	must.Eq(t, 2, s.Attempts)
	must.Eq(t, 1, s.Lost)
	must.Eq(t, 800, s.DetectionMS)
	must.Eq(t, map[string]int{"incomplete": 1, "timeout": 1}, s.Results)
	must.Eq(t, logreport.Detection{Episodes: 2, Attempts: 3, Lost: 2, MedianMS: 800, MaxMS: 800}, r.Detection)
	must.Eq(t, 1, r.Results["connect failed"])
}

// A healthy server returns a single error, is excluded for seconds, and serves
// its next request. A server that fails its next request too is not reported.
func TestHealthyServersExcluded(t *testing.T) {
	r := report(t,
		attemptLine(1000, "1", "well", "server error", 5), requestLine(4100, "2", 200, "served", `"took_ms":100,"server":"well"`),
		attemptLine(1000, "3", "soon", "server error", 5), requestLine(1500, "4", 200, "served", `"took_ms":100,"server":"soon"`),
		attemptLine(1000, "5", "sick", "server error", 5), attemptLine(9000, "6", "sick", "incomplete", 5),
	)
	must.Len(t, 1, r.ExcludedHealthy)
	must.Eq(t, "well", r.ExcludedHealthy[0].Server)
	must.Eq(t, 3000, r.ExcludedHealthy[0].ForMS)
}

// A workspace sends four requests at once with a rate of one per second and a
// burst of two. Three are refused; only the refusal of the second request was
// within the rate.
func TestRefusalsWithinRate(t *testing.T) {
	const plan = `"took_ms":0,"workspace":"w","rate":1,"burst":2`
	r := report(t,
		requestLine(0, "1", 200, "served", plan), requestLine(1, "2", 429, "over-rate", plan),
		requestLine(2, "3", 429, "over-rate", plan), requestLine(3, "4", 429, "over-rate", plan),
	)
	must.Eq(t, map[string]int{"w": 1}, r.RefusedWithinRate)
}
