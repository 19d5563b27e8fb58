package node

import (
	"container/heap"
	"time"
)

type eventQueue []scheduledCall

type scheduledCall struct {
	at  time.Duration
	seq int
	do  func()
}

func (j eventQueue) Len() int { return len(j) }
func (j eventQueue) Less(a, b int) bool {
	return j[a].at < j[b].at || (j[a].at == j[b].at && j[a].seq < j[b].seq)
}
func (j eventQueue) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *eventQueue) Push(x any)   { *j = append(*j, x.(scheduledCall)) }
func (j *eventQueue) Pop() any {
	old := *j
	last := old[len(old)-1]
	*j = old[:len(old)-1]
	return last
}

func (f *fleet) after(in time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduledCall{at: f.now + in, seq: f.seq, do: do})
}

// advance lets the time pass.
func (f *fleet) advance(d time.Duration) {
	until := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= until {
		j := heap.Pop(&f.queue).(scheduledCall)
		f.now = j.at
		j.do()
	}
	f.now = until
}
