// Package store carries out a node's reads and writes of the platform, each
// on a goroutine of its own and bounded in time, and reports their ends.
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

// Submitter takes events for the node.
type Submitter interface{ Submit(node.Event) }

// Store is an instance's access to the platform.
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

// New returns a Store whose calls end after the timeout.
func New(t storage.Table, i storage.Instances, loop Submitter, log *slog.Logger, timeout time.Duration) *Store {
	return &Store{table: t, instances: i, loop: loop, log: log, timeout: timeout}
}

// Counts returns the reads and writes sent so far.
func (s *Store) Counts() (reads, writes uint64) { return s.reads.Load(), s.writes.Load() }

// Wait returns when no call is under way.
func (s *Store) Wait() { s.wg.Wait() }

// ReadTable carries out the effect. It doesn't block.
func (s *Store) ReadTable(e effect.ReadTable) {
	s.reads.Add(1)
	s.run(func(ctx context.Context) {
		changes, err := s.table.Read(ctx, e.Read)
		s.logOutage(err)
		s.loop.Submit(node.TableRead{ID: e.ID, Changes: changes, OK: err == nil})
	})
}

// WriteTable carries out the effect. It doesn't block.
func (s *Store) WriteTable(e effect.WriteTable) {
	s.writes.Add(1)
	s.run(func(ctx context.Context) {
		result, err := s.table.Write(ctx, e.Txn)
		if err != nil {
			// A transaction that the table finds malformed took no effect.
			result = storage.WriteResult{Outcome: storage.Conflict}
		}
		s.loop.Submit(node.TableWritten{ID: e.ID, Result: result})
	})
}

// ReadInstances carries out the effect. It doesn't block.
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

// logOutage logs the beginning and the end of an outage, not every failed read.
func (s *Store) logOutage(err error) {
	switch away := err != nil; {
	case away && !s.unavailable.Swap(true):
		event.PlatformUnavailable.Log(s.log, slog.String("error", err.Error()))
	case !away && s.unavailable.Swap(false):
		event.PlatformReturned.Log(s.log)
	}
}
