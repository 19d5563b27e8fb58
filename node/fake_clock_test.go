package node

import (
	"container/heap"
	"time"
)

// eventQueue is a heap of calls scheduled in simulated time.
type eventQueue []scheduledCall

type scheduledCall struct {
	at time.Duration
	// seq keeps calls due at the same time in the order of scheduling.
	seq int
	do  func()
}

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].seq < q[b].seq)
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules a call after a delay in simulated time.
func (f *fleet) after(delay time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduledCall{at: f.now + delay, seq: f.seq, do: do})
}

// advance moves simulated time forward and makes the calls that become due.
func (f *fleet) advance(d time.Duration) {
	until := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= until {
		next := heap.Pop(&f.queue).(scheduledCall)
		f.now = next.at
		next.do()
	}
	f.now = until
}
