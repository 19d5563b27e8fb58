// Package settings reads the settings of an entry instance: what a process
// needs to know before it starts, in JSON with comments. What operators
// change while it runs, the lists and the keys, is in the platform's table.
package settings

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/config"
)

// Settings of one entry instance.
type Settings struct {
	// DataCentre and Region that the instance runs in. Required.
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`

	Callers   Callers   `json:"callers"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Platform  Platform  `json:"platform"`
	Fleet     Fleet     `json:"fleet"`
	Stop      Stop      `json:"stop"`
	Log       Log       `json:"log"`
	Trace     Trace     `json:"trace"`
}

// Callers is the service for callers.
type Callers struct {
	// Listen is "ip:port"; port 0 takes a free one. Required.
	Listen string `json:"listen"`
	// Advertise is what callers and other instances connect to, if it isn't
	// the address that is listened on.
	Advertise string `json:"advertise"`
	// MaxConnections bounds the connections of all callers. Default 4096.
	MaxConnections int `json:"maxConnections"`
	// MaxHeaderBytes bounds a request's headers. Default 16384.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// MaxBodyBytes bounds a request's body. Default 67108864 (64 MiB).
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxBufferedBytes of a body or an answer are held in memory, so that a request
	// can be sent again, and no half answer goes out. Default 262144.
	MaxBufferedBytes int64 `json:"holdBytes"`
	// HeaderTimeout bounds the reading of a request's headers. Default "5s".
	HeaderTimeout config.Duration `json:"headerTimeout"`
	// ReadTimeout bounds the reading of a whole request. Default "60s".
	ReadTimeout config.Duration `json:"readTimeout"`
	// WriteTimeout is how long a caller may take nothing of its answer before
	// the connection is closed. Default "30s".
	WriteTimeout config.Duration `json:"writeTimeout"`
	// IdleTimeout closes connections without a request. Default "90s".
	IdleTimeout config.Duration `json:"idleTimeout"`
}

// Peers is the service for other entry instances.
type Peers struct {
	// Listen and Advertise as for callers. Listen is required.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// SecretFile holds the secret that all instances share, at least 16
	// bytes. Required.
	SecretFile string `json:"secretFile"`
	// MaxConnections bounds the connections of other instances. Default 4096.
	MaxConnections int `json:"maxConnections"`
	// Seeds are peer addresses of instances that probably run. They let this
	// instance start while the platform is away. Default none.
	Seeds []string `json:"seeds"`
}

// Operators is the service for operators, with the metrics.
type Operators struct {
	// Listen and Advertise as for callers. Listen is required.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// TokenFile holds the token that operators present. Required.
	TokenFile string `json:"tokenFile"`
}

// Platform is how to reach the platform.
type Platform struct {
	// URL such as "http://10.0.0.1:7000". Required.
	URL string `json:"url"`
	// AnnounceEvery is the time between two announcements. It must be well
	// below the silence after which the platform takes an instance for ended.
	// At 2,000 instances "10s" makes 200 announcements a second. Default "10s".
	AnnounceEvery config.Duration `json:"announceEvery"`
	// RecordsEvery is the time between two batches of decision records.
	// Default "60s".
	RecordsEvery config.Duration `json:"recordsEvery"`
}

// Fleet must be the same on every instance.
type Fleet struct {
	// Shards of workspaces. Default 64; 1024 for 2,000 instances.
	Shards int `json:"shards"`
	// MaxConfigAge is how old the proof of the newest configuration may be. A
	// change is in force everywhere a little more than this after a majority
	// of the witnesses know it. Default "2s".
	MaxConfigAge config.Duration `json:"fresh"`
	// LocateTTL is how long callers may keep an answer of locate. A planned
	// stop takes at least as long. Default "30s".
	LocateTTL config.Duration `json:"locateTTL"`
	// LocateAddresses is how many addresses such an answer names. Default 4.
	LocateAddresses int `json:"locateAddresses"`
}

// Stop is the planned stop.
type Stop struct {
	// Timeout bounds the wait for requests in progress after callers have
	// stopped to come. Default "30s".
	Timeout config.Duration `json:"patience"`
}

// Log is what is logged.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
}

// Trace is the recording of what the instance decides, for replay. The file
// has to be kept like a secret.
type Trace struct {
	// File to write; nothing is recorded without it.
	File string `json:"file"`
	// MaxBytes bounds the file. Default 67108864 (64 MiB).
	MaxBytes int64 `json:"maxBytes"`
}

// minSecret is the least length of the shared secret, in bytes.
const minSecret = 16

// Default returns the settings that a file's values replace.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxConnections: 4096,
			MaxHeaderBytes: 16 << 10,
			MaxBodyBytes:   64 << 20,
			MaxBufferedBytes:      256 << 10,
			HeaderTimeout:  config.Duration(5 * time.Second),
			ReadTimeout:    config.Duration(60 * time.Second),
			WriteTimeout:   config.Duration(30 * time.Second),
			IdleTimeout:    config.Duration(90 * time.Second),
		},
		Peers:    Peers{MaxConnections: 4096},
		Platform: Platform{AnnounceEvery: config.Duration(10 * time.Second), RecordsEvery: config.Duration(time.Minute)},
		Fleet: Fleet{
			Shards:          64,
			MaxConfigAge:           config.Duration(2 * time.Second),
			LocateTTL:       config.Duration(30 * time.Second),
			LocateAddresses: 4,
		},
		Stop: Stop{Timeout: config.Duration(30 * time.Second)},
		Log:  Log{Level: "info"},

		Trace: Trace{MaxBytes: 64 << 20},
	}
}

// Load reads and checks a file. The error names every fault.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", file)
}

// Parse reads and checks settings in JSON with comments.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, "not JSON with comments")
	}
	s := Default()
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "not the expected fields")
	}
	return s, s.Check()
}

// Check returns an error that names every fault, or nil.
func (s Settings) Check() error {
	var f faults
	f.require("dataCentre", s.DataCentre)
	f.address("callers.listen", s.Callers.Listen, true)
	f.address("peers.listen", s.Peers.Listen, true)
	f.address("operators.listen", s.Operators.Listen, true)
	f.address("callers.advertise", s.Callers.Advertise, false)
	f.address("peers.advertise", s.Peers.Advertise, false)
	f.address("operators.advertise", s.Operators.Advertise, false)
	for i, seed := range s.Peers.Seeds {
		f.address("peers.seeds["+number(int64(i))+"]", seed, true)
	}
	f.require("peers.secretFile", s.Peers.SecretFile)
	f.require("operators.tokenFile", s.Operators.TokenFile)
	f.require("platform.url", s.Platform.URL)
	f.between("fleet.shards", int64(s.Fleet.Shards), 1, 65536)
	f.between("fleet.locateAddresses", int64(s.Fleet.LocateAddresses), 1, 100)
	f.between("callers.maxConnections", int64(s.Callers.MaxConnections), 1, 1<<20)
	f.between("callers.maxHeaderBytes", int64(s.Callers.MaxHeaderBytes), 1024, 1<<20)
	f.between("callers.maxBodyBytes", s.Callers.MaxBodyBytes, 1, 1<<40)
	f.between("callers.holdBytes", s.Callers.MaxBufferedBytes, 64<<10, 64<<20)
	f.between("peers.maxConnections", int64(s.Peers.MaxConnections), 1, 1<<20)
	f.duration("fleet.fresh", s.Fleet.MaxConfigAge, 100*time.Millisecond, time.Minute)
	f.duration("fleet.locateTTL", s.Fleet.LocateTTL, 100*time.Millisecond, time.Hour)
	f.duration("stop.patience", s.Stop.Timeout, 0, time.Hour)
	f.duration("callers.headerTimeout", s.Callers.HeaderTimeout, time.Millisecond, time.Hour)
	f.duration("callers.readTimeout", s.Callers.ReadTimeout, time.Millisecond, time.Hour)
	f.duration("callers.writeTimeout", s.Callers.WriteTimeout, time.Millisecond, time.Hour)
	f.duration("callers.idleTimeout", s.Callers.IdleTimeout, time.Millisecond, time.Hour)
	f.duration("platform.announceEvery", s.Platform.AnnounceEvery, 10*time.Millisecond, time.Hour)
	f.duration("platform.recordsEvery", s.Platform.RecordsEvery, 10*time.Millisecond, time.Hour)
	f.between("trace.maxBytes", s.Trace.MaxBytes, 1<<10, 1<<40)
	f.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return f.err()
}

// ReadSecret reads a secret from its file; white space around it doesn't count.
func ReadSecret(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "secret")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecret {
		return nil, errors.Newf("secret %s: %d bytes, at least %d are needed", file, len(secret), minSecret)
	}
	return secret, nil
}

// faults collects what is wrong.
type faults []string

func (f *faults) add(field, found, allowed string) {
	*f = append(*f, field+": "+found+"; allowed: "+allowed)
}

func (f *faults) require(field, value string) {
	if value == "" {
		f.add(field, "nothing", "a value")
	}
}

func (f *faults) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(field, quoted(value), `an IP address with a port, such as "10.0.0.1:8080"`)
	}
}

func (f *faults) between(field string, value, least, most int64) {
	if value < least || value > most {
		f.add(field, number(value), number(least)+" to "+number(most))
	}
}

func (f *faults) duration(field string, value config.Duration, least, most time.Duration) {
	if d := time.Duration(value); d < least || d > most {
		f.add(field, d.String(), least.String()+" to "+most.String())
	}
}

func (f *faults) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	f.add(field, quoted(value), strings.Join(allowed, ", "))
}

func (f *faults) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.Newf("%d faults:\n  %s", len(*f), strings.Join(*f, "\n  "))
}
