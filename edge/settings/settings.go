// Package settings reads the settings of an edge instance: JSON with comments,
// which the platform renders from deploy/settings.template.jsonc.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/freshness"
	"foxtailspoke/mechanism"
)

// Settings of one edge instance.
type Settings struct {
	// Name identifies the instance in logs.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// IP is the address by which other instances identify this one.
	IP string `json:"ip"`

	// Regions maps each data centre to its region. It may be omitted if no route and
	// no workspace is restricted to regions.
	Regions map[string]string `json:"regions,omitempty"`

	Listen Listen `json:"listen"`
	Store  Store  `json:"store"`
	Bounds Bounds `json:"bounds"`
	// Seeds are "ip:port" addresses of instances that may be running; only the IP is
	// used. Through one of them an instance can start while the store rejects its
	// calls.
	Seeds []string `json:"seeds"`
	// FirstStart indicates the first start of the whole fleet, with callers arriving
	// some seconds later. Default false.
	FirstStart bool `json:"firstStart"`
	// LinkMbps is the bandwidth of the machine's network link; 0 if unknown.
	LinkMbps float64 `json:"linkMbps"`
	// Admission enables the rejection of requests to services whose servers are full, by the
	// outcomes of the attempts of all instances. Default false: servers that reject requests for
	// another reason while their slots are taken look full, too.
	Admission bool `json:"admission"`
	// CrossDataCentre configures when requests leave their data centre.
	CrossDataCentre CrossDataCentre `json:"crossDataCentre"`
	// MemoryMB is the machine's memory; 0 if unknown. A quarter of it bounds the bodies of
	// requests and responses.
	MemoryMB float64 `json:"memoryMB"`
	// MaxDescriptors is the number of file descriptors that the process may have open; 0 or missing
	// means the limit of the operating system, which applies if it is lower. Callers' connections and those to
	// backend servers may each take about a third of them.
	MaxDescriptors int64 `json:"maxDescriptors"`
	Log            Log   `json:"log"`
	// Trial is for experiments only and must not be used on machines that serve
	// users.
	Trial Trial `json:"trial"`
}

// Trial disables mechanisms to measure their effect.
type Trial struct {
	// DisabledMechanisms lists the mechanisms by name.
	DisabledMechanisms []string `json:"without,omitempty"`
}

// Disabled returns the disabled mechanisms. Load has validated their names.
func (t Trial) Disabled() mechanism.Disabled {
	off, _ := mechanism.Parse(t.DisabledMechanisms)
	return off
}

// Listen holds the addresses on which an instance listens, each "ip:port".
type Listen struct {
	// Callers accepts callers' requests.
	Callers string `json:"callers"`
	// Readiness serves the platform's readiness check.
	Readiness string `json:"readiness"`
	// Directory returns the addresses that callers should use.
	Directory string `json:"directory"`
	// Peers carries datagrams and snapshots between instances. All instances must
	// use the same port.
	Peers string `json:"peers"`
	// Forwarding accepts requests of instances that can't connect to a backend server.
	// All instances must use the same port. Default: the port after that of Peers.
	Forwarding string `json:"forwarding,omitempty"`
	// Metrics serves the metrics and the status.
	Metrics string `json:"metrics"`
}

// Store is the platform's store.
type Store struct {
	Address string `json:"address"`
}

// Bounds are the platform's guarantees and requirements. Times are in seconds.
type Bounds struct {
	// RevokeS is how long a revoked key may still work.
	RevokeS float64 `json:"revokeS"`
	// ApplyS is how long after its confirmation a change of the configuration may
	// not be in force yet; 0 means no bound.
	ApplyS float64 `json:"applyS"`
	// DrainS is how long after it starts to drain a backend server may still get
	// requests; 0 means no bound.
	DrainS float64 `json:"drainS"`
	// GraceS is the time between the signal to stop and the forced end of the
	// process.
	GraceS float64 `json:"graceS"`
	// AddressTTLS is the longest time for which callers may cache addresses.
	AddressTTLS float64 `json:"addressTTLS"`
	// RetryRatio and RetrySlack bound the retries to a service by all instances, as
	// a share of its requests and a fixed number added to it.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// RateOvershoot and RateSlack are the platform's tolerance on workspaces' rates:
	// a share of the rate and burst, and a fixed number of requests added to it, in
	// each window of RateWindowS.
	RateOvershoot float64 `json:"rateOvershoot"`
	RateSlack     float64 `json:"rateSlack"`
	RateWindowS   float64 `json:"rateWindowS"`
}

// Log configures logging.
type Log struct {
	// LinesPerSecond bounds the log lines about requests. Default 150.
	LinesPerSecond int `json:"linesPerSecond"`
}

// defaults returns the values of settings that the file omits.
func defaults() Settings {
	return Settings{
		Bounds: Bounds{RevokeS: 5, ApplyS: 2, DrainS: 2, GraceS: 6, AddressTTLS: 5, RetryRatio: 0.2, RateWindowS: 5},
		Log:    Log{LinesPerSecond: 150},

		CrossDataCentre: CrossDataCentre{Plan: PlanFixed, PricePerGB: defaultPricePerGB},
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	return Parse(data)
}

// Parse decodes and validates settings. Unknown fields are an error, because a
// misspelt name would otherwise leave its default in force unnoticed.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, "parsing settings")
	}
	s := defaults()
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parsing settings")
	}
	s.Listen.setForwarding()
	return s, s.check()
}

// setForwarding sets the default of Forwarding. An invalid Peers is reported by check.
func (l *Listen) setForwarding() {
	peers, err := netip.ParseAddrPort(l.Peers)
	if l.Forwarding == "" && err == nil {
		l.Forwarding = netip.AddrPortFrom(peers.Addr(), peers.Port()+1).String()
	}
}

func (s Settings) check() error {
	if _, err := mechanism.Parse(s.Trial.DisabledMechanisms); err != nil {
		return errors.Wrap(err, "settings: trial.without")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return errors.Wrap(err, "settings: ip")
	}
	for name, address := range map[string]string{
		"listen.callers":    s.Listen.Callers,
		"listen.readiness":  s.Listen.Readiness,
		"listen.directory":  s.Listen.Directory,
		"listen.peers":      s.Listen.Peers,
		"listen.forwarding": s.Listen.Forwarding,
		"listen.metrics":    s.Listen.Metrics,
		"store.address":     s.Store.Address,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(err, "settings: %s must be ip:port", name)
		}
	}
	b := s.Bounds
	if b.RevokeS <= 0 || b.ApplyS < 0 || b.DrainS < 0 || b.GraceS <= 0 || b.AddressTTLS <= 0 || b.RetryRatio < 0 || b.RetrySlack < 0 ||
		b.RateOvershoot < 0 || b.RateSlack < 0 || b.RateWindowS <= 0 {
		return errors.New("settings: bounds must not be negative, and revokeS, graceS, addressTTLS and rateWindowS must be positive")
	}
	if err := s.CrossDataCentre.check(); err != nil {
		return err
	}
	if s.MemoryMB < 0 {
		return errors.New("settings: memoryMB must not be negative")
	}
	if s.MaxDescriptors < 0 {
		return errors.New("settings: maxDescriptors must not be negative")
	}
	if s.DataCentre == "" {
		return errors.New("settings: dataCentre must be set")
	}
	if s.Log.LinesPerSecond < 1 {
		return errors.New("settings: log.linesPerSecond must be at least 1")
	}
	return nil
}

// Freshness returns the bounds on the age of what an instance knows.
func (b Bounds) Freshness() freshness.Bounds {
	return freshness.NewBounds(Seconds(b.RevokeS), Seconds(b.ApplyS), Seconds(b.DrainS))
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
