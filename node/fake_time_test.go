package node

import (
	"container/heap"
	"time"
)

type jobs []job

type job struct {
	at  time.Duration
	seq int
	do  func()
}

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].at < j[b].at || (j[a].at == j[b].at && j[a].seq < j[b].seq)
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	*j = old[:len(old)-1]
	return last
}

func (f *fleet) at(in time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, job{at: f.now + in, seq: f.seq, do: do})
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	until := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= until {
		j := heap.Pop(&f.queue).(job)
		f.now = j.at
		j.do()
	}
	f.now = until
}
