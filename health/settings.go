package health

import "time"

// Settings configure an Observer and a Collector. See DefaultSettings.
type Settings struct {
	// DataCentre is the data centre of the instance, which reports contain.
	DataCentre string

	// FailureShare and SickFailureShare are the expected shares of failed
	// attempts at a healthy and at a sick server.
	FailureShare     float64
	SickFailureShare float64
	// LateShare and SickLateShare are the same for late responses. LateShare
	// also defines "late": slower than all but this share of the responses.
	LateShare     float64
	SickLateShare float64

	// LocalMemory is the half-life of the evidence of one instance.
	LocalMemory time.Duration
	// PooledMemory is the half-life of the evidence at a collector.
	PooledMemory time.Duration

	// EjectScore is the log-likelihood ratio from which a server is ejected.
	EjectScore float64
	// AdviseScore is the log-likelihood ratio from which a collector advises
	// instances to lower the weight of a server.
	AdviseScore float64

	// MinSlack is the smallest excess over the median latency that counts as
	// late.
	MinSlack time.Duration
	// InitialLate is the latency that counts as late until there are enough
	// responses to estimate it.
	InitialLate time.Duration

	// ReportInterval is the shortest time between two reports on one service.
	ReportInterval time.Duration
	// ReportBytes limits the reports of an instance, in bytes per second.
	ReportBytes float64

	// Relief is how long the load of a slow server is reduced before it may be
	// ejected for slowness.
	Relief time.Duration
	// Settle is how long after the load was reduced responses to earlier requests
	// may still be slow.
	Settle time.Duration

	// ProbeWait is the time from an ejection to the first probe.
	ProbeWait time.Duration
	// MaxProbeWait bounds the wait, which doubles for flapping servers.
	MaxProbeWait time.Duration
	// ProbeInterval is the time between two probes of one server.
	ProbeInterval time.Duration
	// ProbesToReturn is the number of consecutive probes that must succeed
	// before a server is readmitted.
	ProbesToReturn int
	// SlowProbe is the latency from which a probe counts as failed.
	SlowProbe time.Duration
	// Probation is how long after its readmission a server is ejected on less
	// evidence and with a doubled ProbeWait.
	Probation time.Duration
}

// DefaultSettings returns the default settings.
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

// healthyLateShare is the share of late responses that is normal for a healthy
// server. It is above LateShare because late responses come in bursts, while a
// queue is long.
func (s Settings) healthyLateShare() float64 { return lateBurstFactor * s.LateShare }

const (
	lateBurstFactor = 4.0 / 3
	// outlierFactor is the multiple of the mean of the other servers up to which
	// bad attempts at a server don't count.
	outlierFactor = 2
	// maxScore caps the score, to bound how long a recovered server stays
	// suspect.
	maxScore = 12
	// pairSickShare is the expected share of bad attempts of one workspace at
	// one server that fails this workspace.
	pairSickShare = 0.5
	// pairDiscount scales the score of one workspace at one server. With many
	// such pairs, a false positive by chance is more likely.
	pairDiscount = 0.75
)
