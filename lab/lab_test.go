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

// A run must be reproducible from its seed; otherwise paired differences would
// contain random variation.
func TestSameSeedGivesSameResults(t *testing.T) {
	x := lab.Experiment{Draws: 6, Seed: 3}
	one, two := x.Run(), x.Run()
	must.Eq(t, one.Measures, two.Measures)
	for _, c := range one.Measures {
		must.Zero(t, c.Difference)
		must.Eq(t, "same", c.Verdict())
	}
}

// simple returns a deployment of one service without faults.
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

func TestAllServedInTimeWithoutFaults(t *testing.T) {
	m := lab.Simulate(simple(), mechanism.Disabled{}, 1)
	must.Greater(t, 0.999, m.Credit)
	must.Zero(t, m.OrdersLost)
	must.Zero(t, m.Refused)
}

// The model must show known effects: faults cost requests, a policy that does not
// avoid faulty servers loses more of them, and a service at twice its capacity
// refuses requests.
func TestKnownEffects(t *testing.T) {
	faulty := simple()
	faulty.Services[0].Faults = lab.Faults{Share: 0.3, FailureShare: 0.8, MeanDuration: 9e9, Mode: lab.Reset}
	complete := lab.Simulate(faulty, mechanism.Disabled{}, 1)
	reduced := lab.Simulate(faulty, mechanism.Disable(mechanism.FailurePrediction, mechanism.KeepInUse, mechanism.Probe), 1)
	must.Positive(t, complete.OrdersLost)
	must.Greater(t, 4*complete.OrdersLost, reduced.OrdersLost)

	full := simple()
	for i := range full.Services[0].Kinds {
		full.Services[0].Kinds[i].RequestsPerSecond = 800 / float64(len(full.Services[0].Kinds))
	}
	m := lab.Simulate(full, mechanism.Disabled{}, 1)
	must.Between(t, 0.3, m.Unserved, 0.8)
}

// Differences within the confidence interval must not favour a policy; larger ones
// must follow the direction of the measure.
func TestVerdictRequiresSignificance(t *testing.T) {
	c := lab.Comparison{Difference: 0.01, Within: 0.02, MoreIsBetter: true}
	must.Eq(t, "same", c.Verdict())
	c.Within = 0.005
	must.Eq(t, "B", c.Verdict())
	c.MoreIsBetter = false
	must.Eq(t, "A", c.Verdict())
}

func TestSettingsValidation(t *testing.T) {
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

func TestPlot(t *testing.T) {
	x := lab.Experiment{Draws: 4, Seed: 3, B: mechanism.Disable(mechanism.KeepInUse)}
	file := filepath.Join(t.TempDir(), "difference.svg")
	must.NoError(t, x.Run().Plot(file))
	b, err := os.ReadFile(file)
	must.NoError(t, err)
	must.StrContains(t, string(b), "<svg")
}
