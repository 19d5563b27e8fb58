package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// starvedInstances is the number of machines of kervan-posta.
	starvedInstances = 40
	contactS         = 3 * time.Second
	configApplyS     = 2 * time.Second
	// aloneCut is the time for which one instance is cut from the store, as in the site's entry
	// { kind = "core_cut", count = 1, for_s = 5.5 }, othersCut that of the others, as in
	// { kind = "node_cut", share = 0.35, for_s = 12.0 }, three of which begin at othersCutAfter.
	aloneCut       = 5500 * time.Millisecond
	othersCut      = 12 * time.Second
	othersCutAfter = 300 * time.Millisecond
	// The operator changes the desired state changeCount times, from changeFrom on.
	changeFrom     = 3 * time.Second
	changeInterval = 800 * time.Millisecond
	changeCount    = 9
	probeInterval  = 20 * time.Millisecond
	roundLength    = 15 * time.Second
	roundCount     = 4
)

func init() { cases["starved-reader"] = starvedReader }

// operator writes desired states and remembers when the store confirmed them.
type operator struct {
	fleet *fleet

	mu        sync.Mutex
	version   int
	confirmed map[int]time.Time
}

// change adds a route for the new version, and removes the route of the fourth version before.
func (o *operator) change() error {
	o.mu.Lock()
	o.version++
	v := o.version
	o.mu.Unlock()
	var routes []any
	for added := max(v-3, 1); added <= v; added++ {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", added), "host": "lookups.example", "prefix": fmt.Sprintf("/r%d/", added), "route_kind": "idempotent",
			"timeout_s": 5, "aim_s": 2, "priority": 1, "service": "lookups", "max_attempts": 2, "public": true,
		})
	}
	config := lookupConfig()
	config["version"], config["routes"] = fmt.Sprintf("%08x", v), routes
	if err := o.fleet.putConfig(config); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed[v] = time.Now()
	return nil
}

// due returns the newest version that was confirmed more than configApplyS ago.
func (o *operator) due() (version int, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for v := o.version; v > 0; v-- {
		if at, ok := o.confirmed[v]; ok && time.Since(at) > configApplyS {
			return v, time.Since(at)
		}
	}
	return 0, 0
}

// starvedReader cuts all instances from the store, one of them for a shorter time, and asks that one for
// routes that were added meanwhile, once it has been in touch again for contactS.
func starvedReader(r *record, trouble bool) (result, error) {
	f, err := newFleet(r, starvedInstances)
	if err != nil {
		return result{}, err
	}
	defer f.stopAll()
	o := &operator{fleet: f, confirmed: make(map[int]time.Time)}
	if err := o.change(); err != nil {
		return result{}, err
	}
	for i := range 3 {
		t, err := newTarget(f, fmt.Sprintf("i-%d", i), "lookups", 6, 24)
		if err != nil {
			return result{}, err
		}
		t.work = 5 * time.Millisecond
	}
	if err := f.startAll(); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	old, answered := 0, 0
	for round := range roundCount {
		start := time.Now()
		alone := round
		var wg sync.WaitGroup
		if trouble {
			wg.Go(func() { f.cutAll(alone, start) })
		}
		wg.Go(func() {
			sleepUntil(start.Add(changeFrom))
			for range changeCount {
				if err := o.change(); err != nil {
					panic(err)
				}
				time.Sleep(changeInterval)
			}
		})
		sleepUntil(start.Add(aloneCut + contactS))
		for time.Now().Before(start.Add(othersCut)) {
			version, age := o.due()
			status := probe(f.address(alone, portCallers), version)
			r.line("edge-%d gets a request for the route of version %d, confirmed %.2f s before: %d", alone, version, age.Seconds(), status)
			if status == http.StatusOK {
				answered++
			}
			if status == http.StatusNotFound {
				old++
			}
			time.Sleep(probeInterval)
		}
		wg.Wait()
		sleepUntil(start.Add(roundLength))
		if old > 0 {
			break
		}
	}
	r.say("%d requests were answered by the version due; CONFIG: %d were refused with 404 as an older version says", answered, old)
	if answered+old == 0 {
		return result{}, fmt.Errorf("no request was answered")
	}
	return result{broken: old > 0}, nil
}

// cutAll cuts all instances from the store; the one that is given gets its answers again first.
func (f *fleet) cutAll(alone int, start time.Time) {
	f.record.line("edge-%d is cut from the store", alone)
	f.cut[alone].Store(true)
	sleepUntil(start.Add(othersCutAfter))
	f.record.line("all others are cut from the store")
	for n := range f.cut {
		f.cut[n].Store(true)
	}
	sleepUntil(start.Add(aloneCut))
	f.cut[alone].Store(false)
	f.record.line("edge-%d is no longer cut", alone)
	sleepUntil(start.Add(othersCutAfter + othersCut))
	for n := range f.cut {
		f.cut[n].Store(false)
	}
	f.record.line("nobody is cut any more")
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// probe asks an instance for the route of a version and returns the status, 0 without an answer.
func probe(address string, version int) int {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	if _, err := fmt.Fprintf(c, "GET /r%d/2f HTTP/1.1\r\nHost: lookups.example\r\n%s: %s\r\n%s: 2000\r\n\r\n", version, headerAttempt, id, headerDeadline); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
