package replica

import (
	"slices"
	"time"
)

// Announced is the newest version of a copy that other instances have announced to have. It is
// empty at first.
type Announced struct {
	Position
	// StoreTime is the store's clock at the read that found the version.
	StoreTime time.Duration
	// At is when the announcement was received, LackingSince when the first one was of any
	// version that the local copy has lacked since.
	At, LackingSince time.Duration
	// holders are the instances that announced it.
	holders []uint32
}

// Observe records the announcement of a version. lacking reports whether the local copy lacks the
// newest one that was announced before.
func (a *Announced) Observe(p Position, storeTime time.Duration, lacking bool, now time.Duration) {
	if !a.Before(p) {
		return
	}
	since := now
	if lacking {
		since = a.LackingSince
	}
	*a = Announced{Position: p, StoreTime: storeTime, At: now, LackingSince: since}
}

// ObserveHolder records that an instance has a version.
func (a *Announced) ObserveHolder(id uint32, p Position) {
	if p == a.Position && !slices.Contains(a.holders, id) {
		a.holders = append(a.holders, id)
	}
}

// ForgetHolder records that an instance has started again, without data.
func (a *Announced) ForgetHolder(id uint32) {
	a.holders = slices.DeleteFunc(a.holders, func(h uint32) bool { return h == id })
}

// Holders returns the instances that have the version.
func (a *Announced) Holders() []uint32 { return a.holders }
