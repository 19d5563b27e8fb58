package main

import (
	"fmt"
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
	// drainCallers is the number of callers, each with one order at a time.
	drainCallers = 12
)

// lateHeartbeat has a target leave without reporting that it drains: its entry is removed, and it
// serves on for some seconds. The store performs the target's last heartbeat only after that, and
// removes the entry again after three heartbeats of silence.
func lateHeartbeat(f *fleet, trouble bool) (bool, error) {
	leaving, err := f.startWithLeaving()
	if err != nil {
		return false, err
	}
	const beats = 4
	for seq := 1; seq < beats; seq++ {
		f.store.Put("servers", leaving.id, leaving.entry("ready", seq))
		time.Sleep(heartbeat)
	}
	r := &results{statuses: make(map[string]int)}
	var wg sync.WaitGroup
	f.startOrderers(&wg, time.Now().Add(2*time.Second+servesOn), r)
	time.Sleep(heartbeat)
	sentAt := time.Now()
	if trouble {
		f.rec.printf("target %s writes heartbeat %d, whose answer is lost", leaving.id, beats)
	} else {
		f.store.Put("servers", leaving.id, leaving.entry("ready", beats))
	}
	time.Sleep(200 * time.Millisecond)
	leaving.leaving.Store(true)
	f.store.Remove("servers", leaving.id)
	goneAt := time.Now()
	f.rec.printf("the entry of %s is removed; it serves on", leaving.id)
	time.AfterFunc(servesOn, func() {
		f.rec.printf("target %s ends", leaving.id)
		leaving.close()
	})
	stableAt := goneAt.Add(drainTime)
	if trouble {
		time.Sleep(time.Until(sentAt.Add(lateBy)))
		f.store.Put("servers", leaving.id, leaving.entry("ready", beats))
		stableAt = time.Now().Add(contactTime)
		f.rec.printf("the store performs heartbeat %d of %s", beats, leaving.id)
		time.Sleep(silentBeats * heartbeat)
		f.store.Remove("servers", leaving.id)
		f.rec.printf("the store removes the entry of %s, which is silent", leaving.id)
	}
	wg.Wait()
	inTouch := leaving.arrivalsAfter(stableAt)
	f.rec.printf("%d requests reached %s later than drain_s after its removal, %d of these while the store was stable again; %d were lost",
		leaving.arrivalsAfter(goneAt.Add(drainTime)), leaving.id, inTouch, r.lost(leaving))
	return inTouch > 0, nil
}

// startWithLeaving starts four targets, one that is to leave and isn't registered, and three
// instances.
func (f *fleet) startWithLeaving() (*target, error) {
	if err := f.putConfig(7, []string{apiKey}, route("orders", "/orders/", "non_idempotent", "abonelik", 4, 2, 2)); err != nil {
		return nil, err
	}
	for i := range 4 {
		t, err := newTarget(f.rec, fmt.Sprintf("i-%d", i), "abonelik", 6, 6, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		f.register(t)
	}
	if err := f.startInstances(3); err != nil {
		return nil, err
	}
	leaving, err := newTarget(f.rec, "i-leaving", "abonelik", 6, 6, 100*time.Millisecond)
	if err != nil {
		return nil, err
	}
	f.targets = append(f.targets, leaving)
	return leaving, nil
}

// startOrderers starts the callers of the cases in which a target leaves.
func (f *fleet) startOrderers(wg *sync.WaitGroup, end time.Time, r *results) {
	for n := range drainCallers {
		wg.Go(func() { f.orderer(n, f.address(n%3, portCallers), end, r) })
	}
}
