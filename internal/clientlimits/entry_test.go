package clientlimits_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/harness"
	"foxtailspoke/internal/standin"
)

// startEntry starts foxtailspoke-entry with a limit on descriptors beside a stand-in of the platform.
func startEntry(t *testing.T, descriptors int) *harness.Process {
	t.Helper()
	platform, err := standin.StartPlatform(standin.PlatformOptions{InstanceTimeout: 5 * time.Second})
	must.NoError(t, err)
	t.Cleanup(platform.Close)
	dir := t.TempDir()
	for _, name := range []string{"secret", "token"} {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte("a secret of all instances"), 0o600))
	}
	settings := filepath.Join(dir, "entry.json")
	must.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `{
		"dataCentre": "dc", "region": "luzon", "memoryMB": %d,
		"callers": { "listen": "127.0.0.1:0" },
		"peers": { "listen": "127.0.0.1:0", "secretFile": %q },
		"operators": { "listen": "127.0.0.1:0", "tokenFile": %q },
		"platform": { "url": %q },
	}`, machineMB, filepath.Join(dir, "secret"), filepath.Join(dir, "token"), platform.URL()), 0o600))
	program, err := harness.Program("foxtailspoke-entry")
	must.NoError(t, err)
	p, err := harness.Start(specWithin(descriptors, program, "--settings", settings))
	must.NoError(t, err)
	t.Cleanup(p.Kill)
	return p
}

// entryAddress returns the address of a port of an entry instance.
func entryAddress(t *testing.T, p *harness.Process, port string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	address, err := p.Address(ctx, port)
	must.NoError(t, err)
	return address
}

// Guards against an entry instance that runs out of memory while clients send heads of many short lines.
func TestHeadsOfEntry(t *testing.T) {
	for name, head := range map[string]string{
		"too long":   begin("/x") + distinctLines(unfinishedBytes),
		"unfinished": begin("/x") + distinctLines(wholeBytes),
		"whole":      begin("/x") + distinctLines(wholeBytes-200) + "\r\n",
	} {
		for _, port := range []string{"callers", "operators"} {
			t.Run(name+", "+port, func(t *testing.T) { sendToEntry(t, port, crowdSize, head) })
		}
	}
}

// Guards against an entry instance that runs out of memory by heads that it reads together with the body
// before them.
func TestHeadsAfterBodiesOfEntry(t *testing.T) {
	body := "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
	for _, port := range []string{"callers", "operators"} {
		t.Run(port, func(t *testing.T) {
			sendToEntry(t, port, silentConns, body+begin("/x")+distinctLines(bufferBytes))
		})
	}
}

// sendToEntry sends a head to a port on many connections, again and again, and checks that the process
// stays within its memory and answers.
func sendToEntry(t *testing.T, port string, size int, head string) {
	t.Helper()
	p := startEntry(t, 0)
	crowd(entryAddress(t, p, port), size, func(c net.Conn) {
		in := bufio.NewReader(c)
		for _, err := io.WriteString(c, head); err == nil && skipResponse(in); {
			_, err = io.WriteString(c, head)
		}
	})
	peak := peakMB(t, p)
	t.Logf("peak memory %d MB", peak)
	must.LessEq(t, machineMB, peak)
	verifyEntry(t, p)
}

// verifyEntry checks that an entry instance answers an ordinary request.
func verifyEntry(t *testing.T, p *harness.Process) {
	t.Helper()
	c := http.Client{Timeout: answerTimeout}
	resp, err := c.Get("http://" + entryAddress(t, p, "callers") + "/-/v1/live")
	must.NoError(t, err, must.Sprint(p.Log()))
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusNoContent, resp.StatusCode)
}

// Guards against an entry instance whose descriptors are all taken by connections that send nothing.
func TestSilentConnectionsLeaveEntryDescriptors(t *testing.T) {
	for _, port := range []string{"callers", "peers", "operators"} {
		t.Run(port, func(t *testing.T) {
			p := startEntry(t, descriptorLimit)
			peak := watchDescriptors(t, p)
			crowd(entryAddress(t, p, port), silentConns, sendAndHold(""))
			n := peak()
			t.Logf("peak of %d descriptors", n)
			must.Less(t, descriptorLimit, n)
			verifyEntry(t, p)
		})
	}
}
