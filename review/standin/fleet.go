package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

// edgeProgram is the program of the deploy file.
const edgeProgram = "target/foxtailspoke-edge"

// Bounds of a small deployment, in seconds.
const (
	drainS = 2.0
	graceS = 6.0
)

// zones are those of the instances, in turn.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Ports of an instance; all instances use the same ones.
const (
	portCallers = iota
	portReadiness
	portDirectory
	portPeers
	portForwarding
	portMetrics
	portCount
)

// fleet runs edge instances as separate processes, and the store in this process.
type fleet struct {
	record *record
	dir    string
	store  *rowstore.Store
	// servers serve the store, one to each instance; cut has the instances that get no answer.
	servers []*httptest.Server
	cut     []atomic.Bool
	ports   [portCount]int
	count   int
	procs   []*exec.Cmd
}

func newFleet(r *record, count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: rowstore.New("op", "servers"), count: count, procs: make([]*exec.Cmd, count), cut: make([]atomic.Bool, count)}
	for n := range count {
		f.servers = append(f.servers, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.cut[n].Load() {
				// The end of the connection is noticed once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			f.store.ServeHTTP(w, r)
		})))
	}
	for i := range f.ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return f, nil
}

// ip returns the loopback address of an instance.
func (f *fleet) ip(n int) string { return fmt.Sprintf("127.77.%d.%d", 1+os.Getpid()%250, n+1) }

func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), f.ports[port]) }

// putConfig writes the desired state.
func (f *fleet) putConfig(config map[string]any) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	f.store.Put("op", "config", b)
	f.record.line("operator: version %v confirmed", config["version"])
	return nil
}

// settings returns what the platform renders from deploy/settings.template.jsonc.
func (f *fleet) settings(n int, firstStart bool) ([]byte, error) {
	s := map[string]any{
		"name": fmt.Sprintf("edge-%d", n), "dataCentre": zones[n%len(zones)], "ip": f.ip(n),
		"regions": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"listen": map[string]string{
			"callers": f.address(n, portCallers), "readiness": f.address(n, portReadiness), "directory": f.address(n, portDirectory),
			"peers": f.address(n, portPeers), "forwarding": f.address(n, portForwarding), "metrics": f.address(n, portMetrics),
		},
		"store": map[string]string{"address": strings.TrimPrefix(f.servers[n].URL, "http://")},
		"bounds": map[string]float64{
			"revokeS": 5, "applyS": 2, "drainS": drainS, "graceS": graceS, "addressTTLS": 5, "retryRatio": 0.2, "retrySlack": 60,
			"rateOvershoot": 0.1, "rateSlack": 20, "rateWindowS": 5,
		},
		"seeds":    []string{f.address(0, portPeers), f.address(1, portPeers), f.address(2, portPeers)},
		"linkMbps": 1000, "crossDataCentre": map[string]string{"plan": "auto"}, "memoryMB": 284,
		"log": map[string]int{"linesPerSecond": 150},
	}
	if firstStart {
		s["firstStart"] = true
	}
	return json.Marshal(s)
}

// start starts an instance with the command of the deploy file.
func (f *fleet) start(n int, firstStart bool) error {
	b, err := f.settings(n, firstStart)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, fmt.Sprintf("settings-%d.jsonc", n))
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("edge-%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(edgeProgram)
	cmd.Env = append(os.Environ(), "FOXTAILSPOKE_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.procs[n] = cmd
	f.record.line("platform: starts edge-%d", n)
	return cmd.Start()
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for n := range f.count {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for n := range f.count {
			if f.ready(n) {
				ready++
			}
		}
		if ready == f.count {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, f.count)
		}
	}
}

func (f *fleet) ready(n int) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.address(n, portReadiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopAll kills what was started.
func (f *fleet) stopAll() {
	for _, p := range f.procs {
		if p == nil || p.Process == nil {
			continue
		}
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
