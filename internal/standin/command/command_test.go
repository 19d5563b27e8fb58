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
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/command"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

// runningCommand is a command that runs in the test process.
type runningCommand struct {
	lines *bufio.Scanner
	stop  context.CancelFunc
	code  <-chan int
}

func startCommand(t *testing.T, args ...string) runningCommand {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- command.Run(ctx, args, writer, io.Discard)
		_ = writer.Close()
	}()
	t.Cleanup(cancel)
	return runningCommand{lines: bufio.NewScanner(reader), stop: cancel, code: code}
}

// nextListener reads the next line of output, which must be that of the named
// listener, and returns the address in it.
func (c runningCommand) nextListener(t *testing.T, name string) string {
	t.Helper()
	must.True(t, c.lines.Scan())
	address, ok := strings.CutPrefix(c.lines.Text(), "listening "+name+" ")
	must.True(t, ok, must.Sprint(c.lines.Text()))
	return address
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	return string(body)
}

func TestBackendReachesPlatformThroughLink(t *testing.T) {
	file := filepath.Join(t.TempDir(), "addresses")
	p := startCommand(t, "platform", "--lag", "0s", "--address-file", file)
	address := p.nextListener(t, "platform")
	must.StrContains(t, get(t, "http://"+p.nextListener(t, "control")+"/control/faults"), `"lag":"0s"`)

	links := filepath.Join(t.TempDir(), "links.json")
	text := `[ // to the platform
		{"name": "up", "to": "` + address + `"}]`
	must.NoError(t, os.WriteFile(links, []byte(text), 0o600))
	l := startCommand(t, "link", "--links", links)
	control := l.nextListener(t, "control")
	up := l.nextListener(t, "up")
	must.StrContains(t, get(t, "http://"+control+"/control/links"), `"up":`)

	b := startCommand(t, "backend", "--service", "catalogue", "--platform", "http://"+up, "--announce-every", "10ms", "--linger", "1ms")
	must.StrContains(t, get(t, "http://"+b.nextListener(t, "backend")+"/x"), "catalogue GET /x")
	b.nextListener(t, "control")
	b.stop()
	must.Zero(t, <-b.code)
	must.StrContains(t, get(t, "http://"+address+"/v1/instances"), `"state":"ended"`)

	content, err := os.ReadFile(file)
	must.NoError(t, err)
	var first struct{ What, Address string }
	must.NoError(t, json.Unmarshal(bytes.SplitN(content, []byte("\n"), 2)[0], &first))
	must.Eq(t, address, first.Address)
	must.Eq(t, "platform", first.What)
	for _, c := range []runningCommand{l, p} {
		c.stop()
		must.Zero(t, <-c.code)
	}
}

// The help of each command must contain the JSON names of all faults that can
// be set.
func TestHelpNamesEveryFault(t *testing.T) {
	for name, faults := range map[string]any{
		"platform": standin.PlatformFaults{},
		"backend":  standin.BackendFaults{},
		"link":     standin.LinkState{},
	} {
		var out bytes.Buffer
		must.Zero(t, command.Run(t.Context(), []string{name, "--help"}, &out, io.Discard))
		must.StrContains(t, out.String(), "Example:")
		for _, field := range jsonNames(reflect.TypeOf(faults)) {
			must.StrContains(t, out.String(), `"`+field+`"`, must.Sprint(name))
		}
	}
}

// jsonNames returns the JSON names of a struct's fields, including those of
// nested structs.
func jsonNames(t reflect.Type) []string {
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("json"); tag != "" {
			names = append(names, tag)
		}
		names = append(names, jsonNames(t.Field(i).Type)...)
	}
	return names
}

func TestInvalidUsageExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.json")
	must.NoError(t, os.WriteFile(invalid, []byte(`[{"nam":"x"}]`), 0o600))
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
		{[]string{"link", "--links", invalid}, 1},
	} {
		var stderr bytes.Buffer
		must.Eq(t, c.code, command.Run(t.Context(), c.args, io.Discard, &stderr), must.Sprint(c.args))
		must.Positive(t, stderr.Len())
	}
}
