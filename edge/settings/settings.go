// Package settings reads the settings of an edge instance: JSON with comments,
// rendered by the platform from deploy/settings.template.jsonc.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/mechanism"
)

// Settings of one edge instance.
type Settings struct {
	// Name of the instance in logs.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// IP of the instance. Others know it by this.
	IP string `json:"ip"`

	// Regions is the region of each data centre. It may be left out where no
	// route and no workspace is restricted to regions.
	Regions map[string]string `json:"regions,omitempty"`

	Listen Listen `json:"listen"`
	Store  Store  `json:"store"`
	Bounds Bounds `json:"bounds"`
	// Seeds are "ip:port" of instances that may run; only the ip is used. With
	// one of them an instance starts while the store turns it away.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time, and
	// callers come some seconds later. Default false.
	FirstStart bool `json:"firstStart"`
	// LinkMbps is the machine's own link; 0 if it isn't known.
	LinkMbps float64 `json:"linkMbps"`
	Log      Log     `json:"log"`
	// Trial is for experiments only; nothing of it belongs on machines that
	// serve users.
	Trial Trial `json:"trial"`
}

// Trial switches mechanisms off, to measure what they are worth.
type Trial struct {
	// DisabledMechanisms names the mechanisms.
	DisabledMechanisms []string `json:"without,omitempty"`
}

// Disabled returns the mechanisms that are switched off. Load has checked them.
func (t Trial) Disabled() mechanism.Off {
	off, _ := mechanism.Parse(t.DisabledMechanisms)
	return off
}

// Listen holds the addresses of an instance, each "ip:port".
type Listen struct {
	// Callers send their requests here.
	Callers string `json:"callers"`
	// Readiness is asked by the platform.
	Readiness string `json:"readiness"`
	// Directory tells callers which addresses to use.
	Directory string `json:"directory"`
	// Peers carries datagrams and snapshots between instances. All instances
	// use the same port.
	Peers string `json:"peers"`
	// Metrics serves figures and the status as text.
	Metrics string `json:"metrics"`
}

// Store is the platform's store.
type Store struct {
	Address string `json:"address"`
}

// Bounds are the platform's promises and demands, in seconds.
type Bounds struct {
	// RevokeS is how long a key that was taken away may still work.
	RevokeS float64 `json:"revokeS"`
	// GraceS is the time between the signal to stop and the end by force.
	GraceS float64 `json:"graceS"`
	// AddressTTLS is the longest that callers may keep an answer.
	AddressTTLS float64 `json:"addressTTLS"`
	// RetryRatio and RetrySlack bound the repeats to a service over all
	// instances, as a share of its requests and a number beside it.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// RateOvershoot and RateSlack are the platform's tolerance on workspaces'
	// rates: a share of the rate and burst, and a number of requests beside
	// it, in each RateWindowS.
	RateOvershoot float64 `json:"rateOvershoot"`
	RateSlack     float64 `json:"rateSlack"`
	RateWindowS   float64 `json:"rateWindowS"`
}

// Log is what is logged.
type Log struct {
	// LinesPerSecond bounds the lines on requests. Default 150.
	LinesPerSecond int `json:"linesPerSecond"`
}

// defaults stand for what the file leaves out.
func defaults() Settings {
	return Settings{
		Bounds: Bounds{RevokeS: 5, GraceS: 6, AddressTTLS: 5, RetryRatio: 0.2, RateWindowS: 5},
		Log:    Log{LinesPerSecond: 150},
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(data)
}

// Parse reads and checks settings. Fields that aren't known are a fault: a
// name that is misspelt would otherwise leave its default in force unseen.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s := defaults()
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return s, s.check()
}

func (s Settings) check() error {
	if _, err := mechanism.Parse(s.Trial.DisabledMechanisms); err != nil {
		return errors.Wrap(err, "settings: trial.without")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return errors.Wrap(err, "settings: ip")
	}
	for name, address := range map[string]string{
		"listen.callers":   s.Listen.Callers,
		"listen.readiness": s.Listen.Readiness,
		"listen.directory": s.Listen.Directory,
		"listen.peers":     s.Listen.Peers,
		"listen.metrics":   s.Listen.Metrics,
		"store.address":    s.Store.Address,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(err, "settings: %s must be ip:port", name)
		}
	}
	b := s.Bounds
	if b.RevokeS <= 0 || b.GraceS <= 0 || b.AddressTTLS <= 0 || b.RetryRatio < 0 || b.RetrySlack < 0 ||
		b.RateOvershoot < 0 || b.RateSlack < 0 || b.RateWindowS <= 0 {
		return errors.New("settings: bounds must not be negative, and times must be above 0")
	}
	if s.DataCentre == "" {
		return errors.New("settings: dataCentre is missing")
	}
	if s.Log.LinesPerSecond < 1 {
		return errors.New("settings: log.linesPerSecond must be 1 or more")
	}
	return nil
}

// Seconds turns a setting into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
