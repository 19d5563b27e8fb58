package lab_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/lab"
	"foxtailspoke/mechanism"
)

// The same seed must give the same figures, or a paired difference would be
// chance.
func TestSameSeedSameFigures(t *testing.T) {
	x := lab.Experiment{Draws: 6, Seed: 3}
	one, two := x.Run(), x.Run()
	must.Eq(t, one.Measures, two.Measures)
	for _, c := range one.Measures {
		must.Zero(t, c.Difference)
		must.Eq(t, "same", c.Verdict())
	}
}

// simple is a deployment of one service without any trouble.
func simple() lab.Deployment {
	d := lab.Wide.Draw(rand.New(rand.NewPCG(1, 1)))
	d.Instances, d.MessageLoss, d.PartitionShare, d.BurstFactor, d.RestartAt, d.RetryAfterCompliance = 6, 0, 0, 1, 0, 1
	s := d.Services[0]
	s.Servers, s.Slots, s.ErrorShare, s.ShedShare = 10, 4, 0, 0
	s.Slowdowns = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	s.Faults = lab.Faults{Share: 1e-9, FailureShare: 1, MeanDuration: 1}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.RequestsPerSecond, k.Spread = 20, 0.2
		k.ServiceTime = 100e6
		k.LatencyTarget, k.Timeout = 5*k.ServiceTime, 20*k.ServiceTime
	}
	d.Services = []lab.Service{s}
	for i := range d.Workspaces {
		d.Workspaces[i].Rate, d.Workspaces[i].Burst = 1000, 1000
	}
	return d
}

func TestWithoutTroubleAllIsServedInTime(t *testing.T) {
	m := lab.Simulate(simple(), mechanism.Disabled{}, 1)
	must.Greater(t, 0.999, m.Credit)
	must.Zero(t, m.OrdersLost)
	must.Zero(t, m.Refused)
}

// What is known of the extremes holds in the model as well: spells cost
// requests, a policy that doesn't avoid servers in spells loses more, and a
// service asked for twice what its slots take refuses.
func TestKnownExtremes(t *testing.T) {
	ill := simple()
	ill.Services[0].Faults = lab.Faults{Share: 0.3, FailureShare: 0.8, MeanDuration: 9e9, Mode: lab.Reset}
	clever := lab.Simulate(ill, mechanism.Disabled{}, 1)
	simpler := lab.Simulate(ill, mechanism.Disable(mechanism.FailurePrediction, mechanism.KeepInUse, mechanism.Probe), 1)
	must.Positive(t, clever.OrdersLost)
	must.Greater(t, 4*clever.OrdersLost, simpler.OrdersLost)

	full := simple()
	for i := range full.Services[0].Kinds {
		full.Services[0].Kinds[i].RequestsPerSecond = 800 / float64(len(full.Services[0].Kinds))
	}
	m := lab.Simulate(full, mechanism.Disabled{}, 1)
	must.Between(t, 0.3, m.Unserved, 0.8)
}

// Half of the draws are compared with themselves plus a known difference.
func TestVerdictNeedsMoreThanChance(t *testing.T) {
	c := lab.Comparison{Difference: 0.01, HalfWidth: 0.02, HigherIsBetter: true}
	must.Eq(t, "same", c.Verdict())
	c.HalfWidth = 0.005
	must.Eq(t, "B", c.Verdict())
	c.HigherIsBetter = false
	must.Eq(t, "A", c.Verdict())
}

func TestSettingsAreChecked(t *testing.T) {
	load := func(text string) error {
		file := filepath.Join(t.TempDir(), "s.jsonc")
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		s, err := lab.LoadSettings(file)
		if err != nil {
			return err
		}
		_, err = s.Experiment()
		return err
	}
	must.NoError(t, load(`{"draws": 2, /* all modes */ "b": {"without": ["probe"]}, "spells": {"share": 0.1, "fails": 1, "seconds": 3}}`))
	for text, says := range map[string]string{
		`{"draws": 1}`:                         "draws",
		`{"b": {"without": ["nothing-such"]}}`: "nothing-such",
		`{"drows": 3}`:                         "drows",
		`{"spells": {"share": 0.1, "fails": 1, "seconds": 3, "mode": "odd"}}`: "odd",
		`{"spells": {"share": 1.5, "fails": 1, "seconds": 3}}`:                "share",
	} {
		must.ErrorContains(t, load(text), says)
	}
}

func TestPlotIsWritten(t *testing.T) {
	x := lab.Experiment{Draws: 4, Seed: 3, B: mechanism.Disable(mechanism.KeepInUse)}
	file := filepath.Join(t.TempDir(), "difference.svg")
	must.NoError(t, x.Run().Plot(file))
	b, err := os.ReadFile(file)
	must.NoError(t, err)
	must.StrContains(t, string(b), "<svg")
}
