package membership

import "time"

// Settings of a Member. Zero values take the defaults.
type Settings struct {
	// Self is the instance's own id, new with every start.
	Self string
	// DataCentre that the instance runs in.
	DataCentre string
	// Seeds are peer addresses of instances that probably run. An instance
	// that starts while the platform is away asks them for the configuration
	// and the list; without one it stays cut off until the platform returns.
	Seeds []string
	// Fresh is how old a proof may be, from the start of its exchange.
	Fresh time.Duration
	// DriftPPM bounds the rate error of any instance's clock, in millionths.
	DriftPPM int
	// PollEvery is the time between reads of the table by a watcher or a
	// witness, and between a watcher's rounds while the table is away.
	PollEvery time.Duration
	// PullEvery is the time between pulls of everybody else.
	PullEvery time.Duration
	// ListEvery is the time between reads of the instance list by a watcher.
	ListEvery time.Duration
	// CallTimeout bounds a call to another instance.
	CallTimeout time.Duration
	// ReadTimeout bounds a read of the table or of the instance list.
	ReadTimeout time.Duration
	// HedgeAfter is how long a watcher's read may take before the table
	// counts as away and a round starts beside it.
	HedgeAfter time.Duration
	// WatchersPerDataCentre is the least number of watchers.
	WatchersPerDataCentre int
	// PullersPerWatcher adds watchers in data centres with many instances.
	PullersPerWatcher int
	// WitnessCount is how many witnesses the fleet keeps, if it is large
	// enough.
	WitnessCount int
	// SelfReadsPerSecond bounds, over the whole fleet, the reads of
	// instances that aren't watchers or witnesses and reach none.
	SelfReadsPerSecond int
	// SeatStagger is how much longer each further instance in rank waits
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

// InForceDelay is how long after a majority of the witnesses knew a revision it is
// in force. The holder of an old proof may count Fresh on a slow clock while
// the one who waits counts on a fast one.
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
