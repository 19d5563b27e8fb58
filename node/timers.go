package node

import (
	"container/heap"
	"time"
)

// timers are things to do later, soonest first.
type timers struct {
	list timerList
	made uint64
}

type timer struct {
	at time.Duration
	// number keeps timers of the same time in the order of their making.
	number uint64
	do     func()
}

func (t *timers) add(at time.Duration, do func()) {
	t.made++
	heap.Push(&t.list, timer{at: at, number: t.made, do: do})
}

func (t *timers) nextTime() (time.Duration, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}

// popDue removes and returns the first thing to do whose time has come.
func (t *timers) popDue(now time.Duration) (func(), bool) {
	if at, ok := t.nextTime(); !ok || at > now {
		return nil, false
	}
	return heap.Pop(&t.list).(timer).do, true
}

type timerList []timer

func (l timerList) Len() int { return len(l) }

func (l timerList) Less(i, j int) bool {
	return l[i].at < l[j].at || (l[i].at == l[j].at && l[i].number < l[j].number)
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
		do, ok := n.timers.popDue(n.now)
		if !ok {
			return
		}
		do()
	}
}
