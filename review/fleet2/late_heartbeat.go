package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

const (
	// drainTime is drain_s, contactTime contact_s.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// lateBy is how much later the store performs the write of which it lost the answer.
	lateBy = 5 * time.Second
	// silentBeats is the number of missed heartbeats after which the store removes an entry.
	silentBeats = 3
	// servesOn is how long the target serves on after its entry was removed.
	servesOn = 9 * time.Second
)

// lateHeartbeat has a target leave without reporting that it drains: its entry is removed, and it
// serves on for some seconds. The store performs the target's last heartbeat only after that, and
// removes the entry again after three heartbeats of silence.
func lateHeartbeat(f *fleet, trouble bool) (bool, error) {
	if err := f.putConfig(7, []string{apiKey}, route("orders", "/orders/", "non_idempotent", "abonelik", 4, 2, 2)); err != nil {
		return false, err
	}
	for i := range 4 {
		t, err := newTarget(f.rec, fmt.Sprintf("i-%d", i), "abonelik", 6, 6, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		f.register(t)
	}
	leaving, err := newTarget(f.rec, "i-leaving", "abonelik", 6, 6, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	f.targets = append(f.targets, leaving)
	beat := func(seq int) []byte {
		b, _ := json.Marshal(map[string]any{
			"service": leaving.service, "address": leaving.address(), "zone": dataCentre, "version": "v1", "slots": leaving.slots,
			"state": "ready", "warmup_left_s": 0, "seq": seq, "born": leaving.born.UnixMilli(),
		})
		return b
	}
	f.store.Put("servers", leaving.id, beat(1))
	if err := f.startInstances(3); err != nil {
		return false, err
	}
	const beats = 4
	for seq := 2; seq < beats; seq++ {
		time.Sleep(heartbeat)
		f.store.Put("servers", leaving.id, beat(seq))
	}
	r := &results{statuses: make(map[string]int)}
	var wg sync.WaitGroup
	end := time.Now().Add(2*time.Second + servesOn)
	for n := range 12 {
		wg.Go(func() { f.orderer(n, f.address(n%3, portCallers), end, r) })
	}
	time.Sleep(heartbeat)
	f.rec.printf("target %s writes heartbeat %d, whose answer is lost", leaving.id, beats)
	sentAt := time.Now()
	if !trouble {
		f.store.Put("servers", leaving.id, beat(beats))
	}
	time.Sleep(200 * time.Millisecond)
	f.store.Remove("servers", leaving.id)
	goneAt := time.Now()
	f.rec.printf("the entry of %s is removed; it serves on", leaving.id)
	time.AfterFunc(servesOn, func() {
		f.rec.printf("target %s ends", leaving.id)
		leaving.close()
	})
	var disturbedAt time.Time
	if trouble {
		time.Sleep(time.Until(sentAt.Add(lateBy)))
		f.store.Put("servers", leaving.id, beat(beats))
		disturbedAt = time.Now()
		f.rec.printf("the store performs heartbeat %d of %s", beats, leaving.id)
		time.Sleep(silentBeats * heartbeat)
		f.store.Remove("servers", leaving.id)
		f.rec.printf("the store removes the entry of %s, which is silent", leaving.id)
	}
	wg.Wait()
	lost := 0
	for id, status := range r.statuses {
		if status != http.StatusOK && leaving.hasRun(id) {
			lost++
			f.rec.printf("%s, which %s had begun, got %d", id, leaving.id, status)
		}
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late, inTouch := 0, 0
	for _, at := range leaving.arrivals {
		if at.After(goneAt.Add(drainTime)) {
			late++
			if disturbedAt.IsZero() || at.After(disturbedAt.Add(contactTime)) {
				inTouch++
			}
		}
	}
	f.rec.printf("%d requests reached %s, %d later than drain_s after its removal, %d of these while the store was stable again; %d were lost",
		len(leaving.arrivals), leaving.id, late, inTouch, lost)
	return inTouch > 0, nil
}

// hasRun reports whether the target has begun to work on a request.
func (t *target) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id] > 0
}
