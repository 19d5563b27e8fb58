// Package operator implements the operators' actions: applying the two lists,
// issuing and revoking keys, reading the audit trail, and explaining a decision. Each change is
// one conditional transaction on the platform's table, with its audit entry
// in the same transaction. Entry instances are queried only to wait
// until a change is in force everywhere, and for their status and newest
// decisions.
package operator

import (
	"context"
	"crypto/rand"
	"io"
	"time"

	"github.com/google/uuid"

	"foxtailspoke/storage"
)

// Settings of an Operator. A zero field takes its default.
type Settings struct {
	// OperatorName identifies the operator in the audit trail.
	OperatorName string
	// Now reads the wall clock, for the audit trail only.
	Now func() time.Time
	// NewAttempt returns a globally unique transaction id.
	NewAttempt func() string
	// Random is the source of keys; the default is crypto/rand.
	Random io.Reader
	// Pause waits before a retry.
	Pause func(context.Context, time.Duration) error
	// Backoff is the first pause; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

const (
	defaultBackoff    = 200 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
)

// Operator carries out one operator's actions. It is safe for concurrent use
// if the table is.
type Operator struct {
	table    storage.Table
	settings Settings
	// stageRows is maxStageRows except in tests.
	stageRows int
}

// New returns an operator that acts on the platform's table.
func New(table storage.Table, s Settings) *Operator {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.NewAttempt == nil {
		s.NewAttempt = uuid.NewString
	}
	if s.Random == nil {
		s.Random = rand.Reader
	}
	if s.Pause == nil {
		s.Pause = pause
	}
	if s.Backoff <= 0 {
		s.Backoff = defaultBackoff
	}
	if s.MaxBackoff <= 0 {
		s.MaxBackoff = defaultMaxBackoff
	}
	return &Operator{table: table, settings: s, stageRows: maxStageRows}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// backoff returns the pause before the n-th retry, counted from 0.
func (o *Operator) backoff(n int) time.Duration {
	d := o.settings.Backoff
	for range n {
		d *= 2
		if d >= o.settings.MaxBackoff {
			return o.settings.MaxBackoff
		}
	}
	return d
}
