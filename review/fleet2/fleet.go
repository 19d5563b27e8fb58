package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

const (
	host       = "review.example"
	dataCentre = "ist-a"
	region     = "istanbul"
	apiKey     = "k1"
	workspace  = "w1"
	// graceS is the platform's grace period after SIGTERM.
	graceS = 6
	// readyTimeout bounds the start of the instances.
	readyTimeout = 15 * time.Second
	// heartbeat is how often a backend server writes its entry.
	heartbeat = 1500 * time.Millisecond
)

// Ports of an instance, in the order of fleet.ports.
const (
	portCallers = iota
	portReadiness
	portDirectory
	portPeers
	portMetrics
	portForwarding
	portCount
)

// fleet is the stand-in of the platform with the instances and backend servers that it runs.
type fleet struct {
	rec         *record
	edge        string
	dir         string
	subnet      int
	ports       [portCount]int
	store       *rowstore.Store
	storeServer *httptest.Server
	instances   []*instance
	targets     []*target
	stop        chan struct{}
	wg          sync.WaitGroup
}

// instance is an edge instance, a process of its own.
type instance struct {
	ip   string
	cmd  *exec.Cmd
	done chan struct{}
}

func newFleet(edge string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, edge: edge, dir: dir, subnet: 1 + os.Getpid()%250,
		store: rowstore.New("op", "servers"), stop: make(chan struct{}),
	}
	f.storeServer = httptest.NewServer(f.store)
	return f, f.choosePorts()
}

// choosePorts chooses ports that are free on the loopback addresses.
func (f *fleet) choosePorts() error {
	for i := range f.ports {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return err
		}
		// All listeners stay open until the last port is chosen, so that the ports differ.
		defer func() { _ = l.Close() }()
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// route returns a route of the desired state.
func route(name, prefix, kind, service string, timeoutS, aimS float64, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_s": timeoutS, "aim_s": aimS,
		"priority": 1, "service": service, "max_attempts": maxAttempts, "public": false,
	}
}

// putConfig writes a desired state, as the operator does.
func (f *fleet) putConfig(version int, keys []string, routes ...map[string]any) error {
	services := map[string]bool{}
	for _, r := range routes {
		services[r["service"].(string)] = true
	}
	var list []map[string]any
	for s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 360})
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": []any{map[string]any{"name": workspace, "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}},
	})
	if err != nil {
		return err
	}
	f.store.Put("op", "config", b)
	f.rec.printf("desired state %08x confirmed, keys %v", version, keys)
	return nil
}

// settings returns the settings of an instance, as the platform renders them from
// deploy/settings.template.jsonc.
func (f *fleet) settings(i int, seeds []string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("edge-%s-%d", dataCentre, i+1), "dataCentre": dataCentre, "ip": f.instanceIP(i),
		"regions": map[string]string{dataCentre: region},
		"listen": map[string]string{
			"callers": f.address(i, portCallers), "readiness": f.address(i, portReadiness), "directory": f.address(i, portDirectory),
			"peers": f.address(i, portPeers), "metrics": f.address(i, portMetrics), "forwarding": f.address(i, portForwarding),
		},
		"store": map[string]string{"address": strings.TrimPrefix(f.storeServer.URL, "http://")},
		"bounds": map[string]any{
			"revokeS": 5, "applyS": 2, "drainS": 2, "graceS": graceS, "addressTTLS": 5, "retryRatio": 0.2, "retrySlack": 60,
			"rateOvershoot": 0.1, "rateSlack": 20, "rateWindowS": 5,
		},
		"seeds": seeds, "firstStart": true, "linkMbps": 1000, "crossDataCentre": map[string]string{"plan": "auto"},
		"memoryMB": 284, "log": map[string]int{"linesPerSecond": 150},
	})
}

func (f *fleet) instanceIP(i int) string { return fmt.Sprintf("127.77.%d.%d", f.subnet, i+1) }

func (f *fleet) address(i, port int) string {
	return fmt.Sprintf("%s:%d", f.instanceIP(i), f.ports[port])
}

// startInstances starts n instances and waits until they are ready.
func (f *fleet) startInstances(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, f.address(i, portPeers))
	}
	for i := range n {
		if err := f.startInstance(i, seeds); err != nil {
			return err
		}
	}
	for i := range n {
		if !within(readyTimeout, func() bool { return f.ready(i) }) {
			return fmt.Errorf("instance %d isn't ready", i)
		}
	}
	f.rec.printf("%d instances are ready", n)
	return nil
}

func (f *fleet) startInstance(i int, seeds []string) error {
	b, err := f.settings(i, seeds)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("edge-%d.jsonc", i))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("edge-%d.log", i)))
	if err != nil {
		return err
	}
	cmd := exec.Command(f.edge)
	cmd.Env = append(os.Environ(), "FOXTAILSPOKE_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &instance{ip: f.instanceIP(i), cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		f.rec.printf("the process of instance %d has ended", i)
		close(p.done)
	}()
	f.instances = append(f.instances, p)
	return nil
}

func (f *fleet) ready(i int) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.address(i, portReadiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// register writes a target's entry, again at each heartbeat.
func (f *fleet) register(t *target) {
	f.targets = append(f.targets, t)
	write := func(seq int) { f.store.Put("servers", t.id, t.entry("ready", seq)) }
	write(1)
	f.wg.Go(func() {
		for seq := 2; ; seq++ {
			select {
			case <-time.After(heartbeat):
				write(seq)
			case <-f.stop:
				return
			}
		}
	})
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	close(f.stop)
	for _, p := range f.instances {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			f.rec.printf("kill: %v", err)
		}
		<-p.done
	}
	f.wg.Wait()
	for _, t := range f.targets {
		t.close()
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
