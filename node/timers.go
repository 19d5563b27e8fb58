package node

import (
	"container/heap"
	"time"
)

// timers is a queue of functions to run later, ordered by time.
type timers struct {
	list         timerList
	lastSequence uint64
}

type timer struct {
	at time.Duration
	// sequence orders timers with the same time by creation.
	sequence uint64
	run      func()
}

func (t *timers) add(at time.Duration, run func()) {
	t.lastSequence++
	heap.Push(&t.list, timer{at: at, sequence: t.lastSequence, run: run})
}

func (t *timers) nextTime() (time.Duration, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}

// popDue removes and returns the first function whose time has come.
func (t *timers) popDue(now time.Duration) (func(), bool) {
	if at, ok := t.nextTime(); !ok || at > now {
		return nil, false
	}
	return heap.Pop(&t.list).(timer).run, true
}

type timerList []timer

func (l timerList) Len() int { return len(l) }

func (l timerList) Less(i, j int) bool {
	return l[i].at < l[j].at || (l[i].at == l[j].at && l[i].sequence < l[j].sequence)
}
func (l timerList) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timerList) Push(x any)   { *l = append(*l, x.(timer)) }
func (l *timerList) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func (n *Node) runTimers() {
	for {
		run, ok := n.timers.popDue(n.now)
		if !ok {
			return
		}
		run()
	}
}
