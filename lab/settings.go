package lab

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/mechanism"
)

// Settings configure an experiment, in JSON with comments.
type Settings struct {
	// Draws is the number of deployments that are simulated.
	Draws int `json:"draws"`
	// Seed determines the deployments and all random choices.
	Seed uint64 `json:"seed"`
	// A and B are the policies that are compared.
	A Policy `json:"a"`
	B Policy `json:"b"`
	// Faults, if set, replace the drawn faults of every service.
	Faults *FaultSettings `json:"spells"`
	// Plot is the output file for the plot of the paired differences; no plot is
	// written if it is empty.
	Plot string `json:"plot"`
}

// Policy is the set of mechanisms that are disabled.
type Policy struct {
	Without []string `json:"without"`
}

// FaultSettings set the faults of all services.
type FaultSettings struct {
	// Share is the share of servers that are faulty at any time, FailureShare the
	// share of requests that fail at a faulty server.
	Share        float64 `json:"share"`
	FailureShare float64 `json:"fails"`
	// Seconds is the mean duration of a fault.
	Seconds float64 `json:"seconds"`
	// Mode of failure; drawn at random if empty.
	Mode string `json:"mode"`
}

// LoadSettings reads a settings file and rejects unknown fields.
func LoadSettings(file string) (Settings, error) {
	s := Settings{Draws: 200, Seed: 1}
	data, err := os.ReadFile(file)
	if err != nil {
		return s, errors.Wrap(err, "settings: read file")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return s, errors.Wrap(err, "settings: parse")
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	return s, errors.Wrap(d.Decode(&s), "settings: decode")
}

// Experiment validates the settings and returns the experiment.
func (s Settings) Experiment() (Experiment, error) {
	x := Experiment{Draws: s.Draws, Seed: s.Seed}
	if s.Draws < 2 {
		return x, errors.Newf("settings: draws is %d, must be at least 2", s.Draws)
	}
	var err error
	if x.A, err = mechanism.Parse(s.A.Without); err != nil {
		return x, errors.Wrap(err, "settings: a.without")
	}
	if x.B, err = mechanism.Parse(s.B.Without); err != nil {
		return x, errors.Wrap(err, "settings: b.without")
	}
	if s.Faults == nil {
		return x, nil
	}
	x.Draw, err = s.Faults.draw()
	return x, err
}

func (s FaultSettings) draw() (func(*rand.Rand) Deployment, error) {
	if s.Share <= 0 || s.Share >= 1 || s.FailureShare <= 0 || s.FailureShare > 1 || s.Seconds <= 0 {
		return nil, errors.Newf("settings: spells: share %g, fails %g or seconds %g is out of range", s.Share, s.FailureShare, s.Seconds)
	}
	mode, err := parseMode(s.Mode)
	if err != nil {
		return nil, err
	}
	return func(rng *rand.Rand) Deployment {
		d := Wide.Draw(rng)
		for i := range d.Services {
			faults := &d.Services[i].Faults
			faults.Share, faults.FailureShare = s.Share, s.FailureShare
			faults.MeanDuration = time.Duration(s.Seconds * float64(time.Second))
			if s.Mode != "" {
				faults.Mode = mode
			}
		}
		return d
	}, nil
}

func parseMode(name string) (Mode, error) {
	for m, n := range modeNames {
		if n == name || name == "" {
			return Mode(m), nil
		}
	}
	return 0, errors.Newf("settings: spells.mode %q is not one of %v", name, modeNames)
}
