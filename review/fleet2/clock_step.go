package main

import (
	"sync"
	"time"
)

func init() { cases["clock-step"] = clockStep }

const (
	// stepBack is by how much the time of day of the target's machine jumps back.
	stepBack = 2400 * time.Millisecond
	// flapPeriod is the period in which the target goes down and up.
	flapPeriod = 1400 * time.Millisecond
	// calmTime is the time from the target's last start until it leaves.
	calmTime = 9 * time.Second
	// servesAfterDrain is how long the target serves on after it reported that it drains.
	servesAfterDrain = drainTime + 3*time.Second
)

// clockStep has a target go down and up once, under the id and the address that it had, while the
// time of day of its machine jumps back, so that its new run is born before the former one. Long
// after that it leaves as planned: it reports that it drains, serves on and ends.
func clockStep(f *fleet, trouble bool) (bool, error) {
	t, err := f.startWithLeaving()
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	t.born = time.Now()
	f.store.Put("servers", t.id, t.entry("ready", 1))
	f.rec.printf("target %s starts, born %d", t.id, t.born.UnixMilli())
	r := &results{statuses: make(map[string]int)}
	var wg sync.WaitGroup
	f.startOrderers(&wg, time.Now().Add(flapPeriod+calmTime+servesAfterDrain+time.Second), r)
	time.Sleep(flapPeriod / 2)
	if trouble {
		t.close()
		f.rec.printf("target %s goes down; the time of day of its machine jumps back by %v", t.id, stepBack)
	}
	time.Sleep(flapPeriod / 2)
	if trouble {
		if t, err = newTargetAt(f.rec, t.address(), t.id, t.service, t.slots, t.queue, t.work); err != nil {
			return false, err
		}
		f.targets = append(f.targets, t)
		t.born = time.Now().Add(-stepBack)
		f.rec.printf("target %s starts again, born %d", t.id, t.born.UnixMilli())
	}
	calmEnd := time.Now().Add(calmTime)
	seq := 1
	for ; time.Now().Before(calmEnd); seq++ {
		f.store.Put("servers", t.id, t.entry("ready", seq))
		time.Sleep(heartbeat)
	}
	t.leaving.Store(true)
	f.store.Put("servers", t.id, t.entry("draining", seq))
	drainedAt := time.Now()
	f.rec.printf("target %s reports that it drains", t.id)
	for end := drainedAt.Add(servesAfterDrain); time.Now().Add(heartbeat).Before(end); {
		time.Sleep(heartbeat)
		seq++
		f.store.Put("servers", t.id, t.entry("draining", seq))
	}
	time.Sleep(time.Until(drainedAt.Add(servesAfterDrain)))
	f.rec.printf("target %s ends, its entry is removed", t.id)
	t.close()
	f.store.Remove("servers", t.id)
	wg.Wait()
	late := t.arrivalsAfter(drainedAt.Add(drainTime))
	f.rec.printf("%d requests reached %s later than drain_s after it reported that it drains; %d were lost", late, t.id, r.lost(t))
	return late > 0, nil
}
