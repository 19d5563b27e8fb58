package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

const (
	// foreignID is the key of the foreign entry.
	foreignID = "x-1"
	// orderers is the number of callers, each with one order at a time.
	orderers = 12
	// orderTime is how long they send orders after the foreign entry was written.
	orderTime = 20 * time.Second
)

// foreignEntry has another writer put an entry into the table of the backend servers that lacks
// fields, and so names no target to use. At its address a program of another kind listens, which
// knows none of the paths. All orders are proper; the targets serve them.
func foreignEntry(f *fleet, trouble bool) (bool, error) {
	if err := f.putConfig(7, []string{apiKey}, route("orders", "/orders/", "non_idempotent", "abonelik", 4, 2, 2)); err != nil {
		return false, err
	}
	for i := range 5 {
		t, err := newTarget(f.rec, fmt.Sprintf("i-%d", i), "abonelik", 6, 6, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		f.register(t)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	got := 0
	other := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		got++
		mu.Unlock()
		f.rec.printf("the other program gets %s %s %s", r.Method, r.URL.Path, r.Header.Get(headerAttempt))
		http.NotFound(w, r)
	})}
	go func() { _ = other.Serve(l) }()
	defer func() { _ = other.Close() }()
	if err := f.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		entry, err := json.Marshal(map[string]any{"service": "abonelik", "address": l.Addr().String(), "slots": 6, "state": "ready"})
		if err != nil {
			return false, err
		}
		f.store.Put("servers", foreignID, entry)
		f.rec.printf("another writer puts servers/%s %s", foreignID, entry)
	}
	r := &results{statuses: make(map[string]int)}
	var wg sync.WaitGroup
	end := time.Now().Add(orderTime)
	for n := range orderers {
		wg.Go(func() { f.orderer(n, f.address(n%3, portCallers), end, r) })
	}
	wg.Wait()
	return f.judgeDenied(r, got), nil
}

// judgeDenied reports whether more requests than the rule allows were answered with a 4xx that
// no target gave.
func (f *fleet) judgeDenied(r *results, foreign int) bool {
	denied := 0
	for id, status := range r.statuses {
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 && f.runsOf(id) == 0 {
			denied++
		}
	}
	bound := 5 + len(r.statuses)/500
	f.rec.printf("%d requests, %d at the other program; %d proper ones were answered with a 4xx of no target, allowed are %d",
		len(r.statuses), foreign, denied, bound)
	return denied > bound
}
