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

// Settings of an experiment, in JSON with comments.
type Settings struct {
	// Draws is how many deployments are played.
	Draws int `json:"draws"`
	// Seed of the draws and of chance.
	Seed uint64 `json:"seed"`
	// A and B are the policies.
	A Policy `json:"a"`
	B Policy `json:"b"`
	// Faults, if given, replace those of the draws.
	Faults *FaultSettings `json:"spells"`
	// Plot is the file for the plot of the paired differences; none if empty.
	Plot string `json:"plot"`
}

// Policy is the product's decisions without some mechanisms.
type Policy struct {
	Without []string `json:"without"`
}

// FaultSettings fix the spells of all services.
type FaultSettings struct {
	// Share of the servers that is in a spell, and Fails of the requests.
	Share        float64 `json:"share"`
	FailureShare float64 `json:"fails"`
	// Seconds that a spell lasts, on average.
	Seconds float64 `json:"seconds"`
	// Mode of failure; drawn if empty.
	Mode string `json:"mode"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	s := Settings{Draws: 200, Seed: 1}
	data, err := os.ReadFile(file)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	return s, errors.Wrap(d.Decode(&s), "settings")
}

// Experiment checks the settings and returns what they ask for.
func (s Settings) Experiment() (Experiment, error) {
	x := Experiment{Draws: s.Draws, Seed: s.Seed}
	if s.Draws < 2 {
		return x, errors.Newf("settings: draws is %d, at least 2 are needed", s.Draws)
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
		return nil, errors.Newf("settings: spells with share %g, fails %g and %g seconds", s.Share, s.FailureShare, s.Seconds)
	}
	mode, err := parseMode(s.Mode)
	if err != nil {
		return nil, err
	}
	return func(rng *rand.Rand) Deployment {
		d := Wide.Draw(rng)
		for i := range d.Services {
			spells := &d.Services[i].Faults
			spells.Share, spells.FailureShare = s.Share, s.FailureShare
			spells.MeanDuration = time.Duration(s.Seconds * float64(time.Second))
			if s.Mode != "" {
				spells.Mode = mode
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
	return 0, errors.Newf("settings: spells.mode %q isn't one of %v", name, modeNames)
}
