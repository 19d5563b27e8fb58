package soak_test

import (
	"fmt"
	"syscall"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/rowstore"
)

// underFaults injects faults for a while, one or two at a time.
func (w *world) underFaults(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.fault()
		time.Sleep(w.between(100*time.Millisecond, 900*time.Millisecond))
	}
	w.store.SetFault(nil)
	w.store.SetDelay(0)
	for _, p := range w.procs {
		p.signal(syscall.SIGCONT)
	}
	for _, l := range w.links() {
		w.set(l, standin.LinkState{})
	}
	for _, b := range w.backs {
		b.spell(0)
		b.list("ready")
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) fault() {
	p := w.procs[w.pick(len(w.procs))]
	b := w.backs[w.pick(len(w.backs))]
	switch w.pick(18) {
	case 0:
		w.disturb()
		w.restart(p, syscall.SIGKILL, w.between(0, time.Second))
	case 1:
		w.restart(p, syscall.SIGTERM, 0)
	case 2:
		w.disturb()
		w.pause(p, w.between(200*time.Millisecond, 4*time.Second))
	case 3:
		w.disturb()
		for _, p := range w.procs {
			w.restart(p, syscall.SIGKILL, w.between(0, 500*time.Millisecond))
		}
	case 4:
		w.disturb()
		w.breakStore(w.between(300*time.Millisecond, 5*time.Second))
	case 5:
		w.disturb()
		w.store.SetDelay(w.between(100*time.Millisecond, 600*time.Millisecond))
		time.AfterFunc(2*time.Second, func() { w.store.SetDelay(0) })
	case 6:
		w.store.TruncateHistory()
	case 7:
		w.configure()
	case 8:
		b.list("draining")
		time.AfterFunc(4*time.Second, func() { b.list("ready") })
	case 9, 10:
		w.disturb()
		w.breakLink(w.links()[w.pick(len(w.links()))])
	case 11:
		w.links()[w.pick(len(w.links()))].ResetConnections()
	case 12:
		w.evacuate("dc-1", w.between(time.Second, 6*time.Second))
	case 13:
		id := fmt.Sprintf("i-%d", len(w.backs))
		w.backs = append(w.backs, newBackend(w, id, "dc-0", warmUp))
	default:
		b.spell(w.between(time.Second, 5*time.Second))
	}
}

// disturb notes a fault that excuses knowledge being late.
func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// restart ends a process and starts it again. A second signal for one that is
// on its way already does nothing.
func (w *world) restart(p *process, s syscall.Signal, after time.Duration) {
	if p.still {
		return
	}
	p.still = true
	p.signal(s)
	w.wg.Go(func() {
		<-p.done
		time.Sleep(after)
		select {
		case <-w.stop:
			return
		default:
		}
		w.launch(p)
		w.mu.Lock()
		p.still = false
		w.mu.Unlock()
	})
}

func (w *world) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		w.disturb()
		p.signal(syscall.SIGCONT)
	})
}

// breakStore fails the store for all instances, or for a call in two.
func (w *world) breakStore(d time.Duration) {
	faults := []rowstore.Fault{rowstore.Unavailable, rowstore.TooManyRequests, rowstore.ConnectionReset, rowstore.NoResponse, rowstore.ResponseLost}
	f := faults[w.pick(len(faults))]
	some := w.pick(2) == 0
	w.store.SetFault(func(string) rowstore.Fault {
		if some && w.pick(2) == 0 {
			return rowstore.NoFault
		}
		return f
	})
	time.AfterFunc(d, func() {
		w.disturb()
		w.store.SetFault(nil)
	})
}

// breakLink delays a link, cuts it one way, or silences it, for a while.
func (w *world) breakLink(l *standin.Link) {
	states := []standin.LinkState{
		{Forward: standin.FlowCut},
		{Backward: standin.FlowCut},
		{Forward: standin.FlowCut, Backward: standin.FlowCut},
		{ForwardDelay: config.Duration(w.between(20*time.Millisecond, 400*time.Millisecond))},
		{BackwardDelay: config.Duration(w.between(20*time.Millisecond, 400*time.Millisecond))},
	}
	w.set(l, states[w.pick(len(states))])
	time.AfterFunc(w.between(300*time.Millisecond, 4*time.Second), func() {
		w.disturb()
		w.set(l, standin.LinkState{})
	})
}

func (w *world) set(l *standin.Link, s standin.LinkState) {
	if err := l.SetState(s); err != nil {
		w.t.Error(err)
	}
}
