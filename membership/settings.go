package membership

import "time"

// Settings of a Member. Zero values are replaced by the defaults.
type Settings struct {
	// Self is the instance's own id, which changes with every start.
	Self string
	// DataCentre that the instance runs in.
	DataCentre string
	// Seeds are peer addresses of instances that are likely to run. An instance
	// that starts while the platform is unavailable pulls the configuration and
	// the list of instances from them; if none answers, it stays cut off until
	// the platform recovers.
	Seeds []string
	// Fresh is the maximum age of a proof, counted from the start of its exchange.
	Fresh time.Duration
	// DriftPPM bounds the rate error of any instance's clock, in parts per
	// million.
	DriftPPM int
	// PollEvery is the time between reads of the table by a watcher or a
	// witness, and between a watcher's rounds while the table is unavailable.
	PollEvery time.Duration
	// PullEvery is the time between pulls of an instance that isn't a watcher.
	PullEvery time.Duration
	// ListEvery is the time between reads of the instance list by a watcher.
	ListEvery time.Duration
	// CallTimeout bounds a call to another instance.
	CallTimeout time.Duration
	// ReadTimeout bounds a read of the table or of the instance list.
	ReadTimeout time.Duration
	// HedgeAfter is how long a watcher's read may take before the table counts
	// as unavailable and a round to the witnesses starts in parallel.
	HedgeAfter time.Duration
	// WatchersPerDataCentre is the minimum number of watchers in a data centre.
	WatchersPerDataCentre int
	// PullersPerWatcher is the number of instances per watcher above which a
	// data centre gets more watchers than the minimum.
	PullersPerWatcher int
	// WitnessCount is the number of witnesses, if the fleet has that many
	// instances.
	WitnessCount int
	// SelfReadsPerSecond limits, over the whole fleet, the fallback reads of
	// instances that obtain no proof from watchers or witnesses.
	SelfReadsPerSecond int
	// SeatStagger is the additional time that each lower-ranked instance waits
	// before it changes the list of witnesses.
	SeatStagger time.Duration
}

// Defaults of Settings.
const (
	DefaultFresh                 = 2 * time.Second
	DefaultDriftPPM              = 500
	DefaultPollEvery             = 500 * time.Millisecond
	DefaultPullEvery             = time.Second
	DefaultListEvery             = time.Second
	DefaultCallTimeout           = 250 * time.Millisecond
	DefaultReadTimeout           = time.Second
	DefaultHedgeAfter            = 150 * time.Millisecond
	DefaultWatchersPerDataCentre = 3
	DefaultPullersPerWatcher     = 40
	DefaultWitnessCount          = 7
	DefaultSelfReadsPerSecond    = 500
	DefaultSeatStagger           = time.Second
)

// InForceDelay is the time from when a majority of the witnesses knows a revision
// until it is in force. It exceeds Fresh by the clock error: the owner of an old
// proof may measure Fresh on a slow clock while the waiting instance measures
// the delay on a fast one.
func (s Settings) InForceDelay() time.Duration {
	const million = 1_000_000
	slow, fast := int64(million-s.DriftPPM), int64(million+s.DriftPPM)
	return time.Duration(int64(s.Fresh)*fast/slow) + time.Millisecond
}

func (s Settings) withDefaults() Settings {
	setDefaultDuration(&s.Fresh, DefaultFresh)
	setDefaultDuration(&s.PollEvery, DefaultPollEvery)
	setDefaultDuration(&s.PullEvery, DefaultPullEvery)
	setDefaultDuration(&s.ListEvery, DefaultListEvery)
	setDefaultDuration(&s.CallTimeout, DefaultCallTimeout)
	setDefaultDuration(&s.ReadTimeout, DefaultReadTimeout)
	setDefaultDuration(&s.HedgeAfter, DefaultHedgeAfter)
	setDefaultDuration(&s.SeatStagger, DefaultSeatStagger)
	setDefaultInt(&s.DriftPPM, DefaultDriftPPM)
	setDefaultInt(&s.WatchersPerDataCentre, DefaultWatchersPerDataCentre)
	setDefaultInt(&s.PullersPerWatcher, DefaultPullersPerWatcher)
	setDefaultInt(&s.WitnessCount, DefaultWitnessCount)
	setDefaultInt(&s.SelfReadsPerSecond, DefaultSelfReadsPerSecond)
	return s
}

func setDefaultDuration(v *time.Duration, otherwise time.Duration) {
	if *v == 0 {
		*v = otherwise
	}
}

func setDefaultInt(v *int, otherwise int) {
	if *v == 0 {
		*v = otherwise
	}
}
