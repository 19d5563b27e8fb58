package node

import (
	"container/heap"
	"time"
)

// timers are the times at which attempts become late, soonest first.
type timers struct{ list timerList }

type timer struct {
	at      time.Duration
	attempt string
}

func (t *timers) add(at time.Duration, attempt string) {
	heap.Push(&t.list, timer{at: at, attempt: attempt})
}

func (t *timers) first() (time.Duration, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}

// due removes and returns the first attempt whose time has come.
func (t *timers) due(now time.Duration) (string, bool) {
	if at, ok := t.first(); !ok || at > now {
		return "", false
	}
	return heap.Pop(&t.list).(timer).attempt, true
}

type timerList []timer

func (l timerList) Len() int           { return len(l) }
func (l timerList) Less(i, j int) bool { return l[i].at < l[j].at }
func (l timerList) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timerList) Push(x any)        { *l = append(*l, x.(timer)) }
func (l *timerList) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func (n *Node) runTimers() {
	for {
		id, ok := n.timers.due(n.now)
		if !ok {
			return
		}
		if a, running := n.attempts[id]; running {
			n.late(a)
		}
	}
}
