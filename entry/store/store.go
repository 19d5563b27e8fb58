// Package store executes a node's reads and writes of the platform, each on
// its own goroutine and with a timeout, and submits the results to the node.
package store

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/event"
	"foxtailspoke/node"
	"foxtailspoke/storage"
)

// Submitter queues events for the node.
type Submitter interface{ Submit(node.Event) }

// Store executes the platform calls of one instance.
type Store struct {
	table     storage.Table
	instances storage.Instances
	loop      Submitter
	log       *slog.Logger
	timeout   time.Duration

	unavailable atomic.Bool
	reads       atomic.Uint64
	writes      atomic.Uint64
	wg          sync.WaitGroup
}

// New returns a Store whose calls fail after the timeout.
func New(t storage.Table, i storage.Instances, loop Submitter, log *slog.Logger, timeout time.Duration) *Store {
	return &Store{table: t, instances: i, loop: loop, log: log, timeout: timeout}
}

// Counts returns the number of reads and writes started so far.
func (s *Store) Counts() (reads, writes uint64) { return s.reads.Load(), s.writes.Load() }

// Wait blocks until no call is in progress.
func (s *Store) Wait() { s.wg.Wait() }

// ReadTable executes the effect. It doesn't block.
func (s *Store) ReadTable(e effect.ReadTable) {
	s.reads.Add(1)
	s.run(func(ctx context.Context) {
		changes, err := s.table.Read(ctx, e.Read)
		s.logOutage(err)
		s.loop.Submit(node.TableRead{ID: e.ID, Changes: changes, OK: err == nil})
	})
}

// WriteTable executes the effect. It doesn't block.
func (s *Store) WriteTable(e effect.WriteTable) {
	s.writes.Add(1)
	s.run(func(ctx context.Context) {
		result, err := s.table.Write(ctx, e.Txn)
		if err != nil {
			// The table rejected the transaction as malformed, so it had no effect.
			result = storage.WriteResult{Outcome: storage.Conflict}
		}
		s.loop.Submit(node.TableWritten{ID: e.ID, Result: result})
	})
}

// ReadInstances executes the effect. It doesn't block.
func (s *Store) ReadInstances(e effect.ReadInstances) {
	s.reads.Add(1)
	s.run(func(ctx context.Context) {
		changes, err := s.instances.List(ctx, e.Since)
		s.loop.Submit(node.InstancesRead{ID: e.ID, Changes: changes, OK: err == nil})
	})
}

func (s *Store) run(f func(context.Context)) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
		defer cancel()
		f(ctx)
	})
}

// logOutage logs the start and the end of an outage of the table, not every
// failed read.
func (s *Store) logOutage(err error) {
	switch failed := err != nil; {
	case failed && !s.unavailable.Swap(true):
		event.PlatformUnavailable.Log(s.log, slog.String("error", err.Error()))
	case !failed && s.unavailable.Swap(false):
		event.PlatformReturned.Log(s.log)
	}
}
