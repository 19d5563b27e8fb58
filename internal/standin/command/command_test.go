package command_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"foxtailspoke/internal/standin/command"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

// running is a command that runs in this process.
type running struct {
	lines *bufio.Scanner
	stop  context.CancelFunc
	code  <-chan int
}

func run(t *testing.T, args ...string) running {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- command.Run(ctx, args, writer, io.Discard)
		_ = writer.Close()
	}()
	t.Cleanup(cancel)
	return running{lines: bufio.NewScanner(reader), stop: cancel, code: code}
}

// listening reads the next line and returns the address that it gives.
func (r running) listening(t *testing.T, what string) string {
	t.Helper()
	must.True(t, r.lines.Scan())
	address, ok := strings.CutPrefix(r.lines.Text(), "listening "+what+" ")
	must.True(t, ok, must.Sprint(r.lines.Text()))
	return address
}

func get(t *testing.T, url string) string {
	t.Helper()
	r, err := http.Get(url)
	must.NoError(t, err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, r.StatusCode)
	return string(body)
}

func TestCommandsRunTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "addresses")
	p := run(t, "platform", "--lag", "0s", "--address-file", file)
	address := p.listening(t, "platform")
	must.StrContains(t, get(t, "http://"+p.listening(t, "control")+"/control/faults"), `"lag":"0s"`)

	links := filepath.Join(t.TempDir(), "links.json")
	text := `[ // to the platform
		{"name": "up", "to": "` + address + `"}]`
	must.NoError(t, os.WriteFile(links, []byte(text), 0o600))
	l := run(t, "link", "--links", links)
	control := l.listening(t, "control")
	up := l.listening(t, "up")
	must.StrContains(t, get(t, "http://"+control+"/control/links"), `"up":`)

	b := run(t, "backend", "--service", "catalogue", "--platform", "http://"+up, "--announce-every", "10ms", "--linger", "1ms")
	must.StrContains(t, get(t, "http://"+b.listening(t, "backend")+"/x"), "catalogue GET /x")
	b.listening(t, "control")
	b.stop()
	must.Zero(t, <-b.code)
	must.StrContains(t, get(t, "http://"+address+"/v1/instances"), `"state":"ended"`)

	content, err := os.ReadFile(file)
	must.NoError(t, err)
	var first struct{ What, Address string }
	must.NoError(t, json.Unmarshal(bytes.SplitN(content, []byte("\n"), 2)[0], &first))
	must.Eq(t, address, first.Address)
	must.Eq(t, "platform", first.What)
	for _, r := range []running{l, p} {
		r.stop()
		must.Zero(t, <-r.code)
	}
}

func TestHelpShowsEveryFault(t *testing.T) {
	for name, words := range map[string][]string{
		"platform": {"Example:", "down", "delay", "loseAnswers", "loseAnswersRatio", "loseWrites", "oldCopy", "lag", "frozen"},
		"backend": {
			"Example:", "factor", "delay", "halfRatio", "errorRatio", "errorWorkspace", "hangRatio", "crossedRatio",
			"noEchoRatio", "lateRatio", "lateBy", "duplicateRatio", "flapPeriod", "health", "reportLag", "hideLoad",
			"refuse", "stopReading",
		},
		"link": {"Example:", "forward", "backward", "forwardDelay"},
	} {
		var out bytes.Buffer
		must.Zero(t, command.Run(t.Context(), []string{name, "--help"}, &out, io.Discard))
		for _, word := range words {
			must.StrContains(t, out.String(), word, must.Sprint(name))
		}
	}
}

func TestWrongUse(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	must.NoError(t, os.WriteFile(bad, []byte(`[{"nam":"x"}]`), 0o600))
	for _, c := range []struct {
		args []string
		code int
	}{
		{nil, 2},
		{[]string{"backend"}, 2},
		{[]string{"platform", "--nosuch"}, 2},
		{[]string{"platform", "--listen", "nowhere"}, 1},
		{[]string{"platform", "--address-file", "/nosuch/dir/file"}, 1},
		{[]string{"backend", "--service", "s", "--platform", "::"}, 1},
		{[]string{"link"}, 1},
		{[]string{"link", "--links", "/nosuch"}, 1},
		{[]string{"link", "--links", bad}, 1},
	} {
		var errors bytes.Buffer
		must.Eq(t, c.code, command.Run(t.Context(), c.args, io.Discard, &errors), must.Sprint(c.args))
		must.Positive(t, errors.Len())
	}
}
