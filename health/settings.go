package health

import "time"

// Settings of the judgement. See DefaultSettings.
type Settings struct {
	// DataCentre that the instance is in; it goes into reports.
	DataCentre string

	// FailureShare and SickFailureShare are the shares of failed attempts
	// between which the judgement tells a healthy server from a sick one.
	FailureShare     float64
	SickFailureShare float64
	// LateShare and SickLateShare are the same for late answers. LateShare
	// also defines "late": later than all but this share of the answers.
	LateShare     float64
	SickLateShare float64

	// LocalMemory is the half-life of an instance's own evidence.
	LocalMemory time.Duration
	// PooledMemory is the half-life of evidence at a collector.
	PooledMemory time.Duration

	// EjectScore is the log-likelihood ratio that an ejection needs.
	EjectScore float64
	// AdviseScore is the one from which a collector advises lower weights.
	AdviseScore float64

	// MinSlack is the least difference to the median that counts as late.
	MinSlack time.Duration
	// InitialLate is "late" before there were enough answers to tell.
	InitialLate time.Duration

	// ReportInterval is the least time between two reports on one service.
	ReportInterval time.Duration
	// ReportBytes is how many bytes of reports an instance sends a second.
	ReportBytes float64

	// Relief is how long a slow server gets little load before it may be
	// ejected for slowness.
	Relief time.Duration
	// Settle is how long requests sent before the relief may still be slow.
	Settle time.Duration

	// ProbeWait is how long a server stays ejected before it is probed.
	ProbeWait time.Duration
	// MaxProbeWait bounds the doubling for servers that flap.
	MaxProbeWait time.Duration
	// ProbeInterval is the time between two probes of one server.
	ProbeInterval time.Duration
	// ProbesToReturn is how many probes in a row must succeed.
	ProbesToReturn int
	// SlowProbe is the latency from which a probe counts as failed.
	SlowProbe time.Duration
	// Probation is how long a returned server is ejected again on less
	// evidence, and with a doubled wait.
	Probation time.Duration
}

// DefaultSettings returns the settings used unless operators change them.
func DefaultSettings() Settings {
	return Settings{
		FailureShare:     0.01,
		SickFailureShare: 0.2,
		LateShare:        0.03,
		SickLateShare:    0.3,
		LocalMemory:      20 * time.Second,
		PooledMemory:     10 * time.Second,
		EjectScore:       8,
		AdviseScore:      4,
		MinSlack:         5 * time.Millisecond,
		InitialLate:      250 * time.Millisecond,
		ReportInterval:   250 * time.Millisecond,
		ReportBytes:      2048,
		Relief:           8 * time.Second,
		Settle:           500 * time.Millisecond,
		ProbeWait:        5 * time.Second,
		MaxProbeWait:     5 * time.Minute,
		ProbeInterval:    time.Second,
		ProbesToReturn:   3,
		SlowProbe:        250 * time.Millisecond,
		Probation:        30 * time.Second,
	}
}

// healthyLateShare is the share of late answers held for healthy. It is above
// LateShare because late answers come in groups, when a queue is long.
func (s Settings) healthyLateShare() float64 { return lateBurstFactor * s.LateShare }

const (
	lateBurstFactor = 4.0 / 3
	// outlierFactor is by how much a server must stand out: bad attempts up
	// to this many times the mean of the other servers don't count.
	outlierFactor = 2
	// maxScore bounds how long a recovered server stays suspect.
	maxScore = 12
	// pairSickShare is the share of bad attempts by which one workspace's
	// requests at one server count as broken.
	pairSickShare = 0.5
	// pairDiscount scales the score of one workspace at one server: there
	// are many such pairs, so that chance finds one more easily.
	pairDiscount = 0.75
)
