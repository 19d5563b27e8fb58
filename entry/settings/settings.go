// Package settings reads the start-up settings of an entry instance from JSON
// with comments. Configuration that operators change at run time, the lists
// and the keys, is in the platform's table.
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

// Settings configure one entry instance.
type Settings struct {
	// DataCentre and Region that the instance runs in. Required.
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// MemoryMB is the memory of the machine, of which the garbage collector lets the process take 0.7
	// before it runs more often. Default 0: unknown.
	MemoryMB int64 `json:"memoryMB"`

	Callers   Callers   `json:"callers"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Platform  Platform  `json:"platform"`
	Fleet     Fleet     `json:"fleet"`
	Stop      Stop      `json:"stop"`
	Log       Log       `json:"log"`
	Trace     Trace     `json:"trace"`
}

// Callers configures the listener for callers.
type Callers struct {
	// Listen is "ip:port"; port 0 selects a free port. Required.
	Listen string `json:"listen"`
	// Advertise is the address that callers and other instances connect to.
	// Default is the listen address.
	Advertise string `json:"advertise"`
	// MaxConnections bounds the connections of all callers. Default 4096. They take at most half of the
	// descriptors that the operating system allows the process.
	MaxConnections int `json:"maxConnections"`
	// MaxHeaderBytes bounds a request's headers. Default 16384.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// HeadMemoryBytes bounds the memory of the heads of all requests in progress, at 320 bytes a
	// header line besides their length. Default 16777216 (16 MiB).
	HeadMemoryBytes int64 `json:"headMemoryBytes"`
	// MaxBodyBytes bounds a request's body. Default 67108864 (64 MiB).
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxBufferedBytes of a request body or an answer are buffered in memory,
	// so that a request can be retried and no truncated answer is sent.
	// Default 262144.
	MaxBufferedBytes int64 `json:"holdBytes"`
	// HeaderTimeout bounds the reading of a request's headers. Default "5s".
	HeaderTimeout config.Duration `json:"headerTimeout"`
	// ReadTimeout bounds the reading of a whole request. Default "60s".
	ReadTimeout config.Duration `json:"readTimeout"`
	// WriteTimeout is how long a caller may read nothing of its answer before
	// the connection is closed. Default "30s".
	WriteTimeout config.Duration `json:"writeTimeout"`
	// IdleTimeout is how long a connection without a request stays open.
	// Default "90s".
	IdleTimeout config.Duration `json:"idleTimeout"`
}

// Peers configures the listener for other entry instances.
type Peers struct {
	// Listen and Advertise as for callers. Listen is required.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// SecretFile is a file with the secret that all instances share, at least
	// 16 bytes. Required.
	SecretFile string `json:"secretFile"`
	// MaxConnections bounds the connections of other instances. Default 4096. They take at most a quarter
	// of the descriptors that the operating system allows the process.
	MaxConnections int `json:"maxConnections"`
	// Seeds are peer addresses of instances that are expected to run. They let
	// this instance start while the platform is unavailable. Default none.
	Seeds []string `json:"seeds"`
}

// Operators configures the listener for the operator API and the metrics.
type Operators struct {
	// Listen and Advertise as for callers. Listen is required.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// TokenFile is a file with the bearer token of the operator API, at least
	// 16 bytes. Required.
	TokenFile string `json:"tokenFile"`
}

// Platform configures access to the platform.
type Platform struct {
	// URL such as "http://10.0.0.1:7000". Required.
	URL string `json:"url"`
	// AnnounceEvery is the interval between announcements. It must be well
	// below the time after which the platform lists a silent instance as
	// ended. With 2,000 instances "10s" makes 200 announcements per second.
	// Default "10s".
	AnnounceEvery config.Duration `json:"announceEvery"`
	// RecordsEvery is the interval between writes of decision records.
	// Default "60s".
	RecordsEvery config.Duration `json:"recordsEvery"`
}

// Fleet holds the settings that must be the same on every instance.
type Fleet struct {
	// Shards is the number of workspace shards. Default 64; use 1024 for 2,000
	// instances.
	Shards int `json:"shards"`
	// MaxConfigAge is the maximum age of the confirmation that the
	// configuration is the newest. A change is in force everywhere slightly
	// later than this after a majority of the witnesses know it. Default "2s".
	MaxConfigAge config.Duration `json:"fresh"`
	// LocateTTL is how long callers may cache a locate answer. A planned stop
	// takes at least this long. Default "30s".
	LocateTTL config.Duration `json:"locateTTL"`
	// LocateAddresses is the number of addresses in a locate answer. Default 4.
	LocateAddresses int `json:"locateAddresses"`
}

// Stop configures the planned stop.
type Stop struct {
	// Timeout bounds the wait for the hand-over to other instances, and then
	// the wait for requests in progress. Default "30s".
	Timeout config.Duration `json:"patience"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
}

// Trace configures the recording of the node's events and effects for replay.
// The file must be protected like a secret.
type Trace struct {
	// File is the path of the trace; if it is empty, nothing is recorded.
	File string `json:"file"`
	// MaxBytes bounds the file. Default 67108864 (64 MiB).
	MaxBytes int64 `json:"maxBytes"`
}

// minSecretBytes is the minimum length of a secret or token.
const minSecretBytes = 16

// Default returns the settings used for fields that a file doesn't set.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxConnections:   4096,
			MaxHeaderBytes:   16 << 10,
			HeadMemoryBytes:  16 << 20,
			MaxBodyBytes:     64 << 20,
			MaxBufferedBytes: 256 << 10,
			HeaderTimeout:    config.Duration(5 * time.Second),
			ReadTimeout:      config.Duration(60 * time.Second),
			WriteTimeout:     config.Duration(30 * time.Second),
			IdleTimeout:      config.Duration(90 * time.Second),
		},
		Peers:    Peers{MaxConnections: 4096},
		Platform: Platform{AnnounceEvery: config.Duration(10 * time.Second), RecordsEvery: config.Duration(time.Minute)},
		Fleet: Fleet{
			Shards:          64,
			MaxConfigAge:    config.Duration(2 * time.Second),
			LocateTTL:       config.Duration(30 * time.Second),
			LocateAddresses: 4,
		},
		Stop: Stop{Timeout: config.Duration(30 * time.Second)},
		Log:  Log{Level: "info"},

		Trace: Trace{MaxBytes: 64 << 20},
	}
}

// Load reads and validates a file. The error lists every invalid field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", file)
}

// Parse decodes and validates settings in JSON with comments.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, "parse JSON with comments")
	}
	s := Default()
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "decode fields")
	}
	return s, s.Check()
}

// Check returns an error that lists every invalid field, or nil.
func (s Settings) Check() error {
	var f fieldErrors
	f.require("dataCentre", s.DataCentre)
	f.between("memoryMB", s.MemoryMB, 0, 1<<30)
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
	f.between("callers.headMemoryBytes", s.Callers.HeadMemoryBytes, 1<<20, 1<<40)
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

// ReadSecret reads a secret from a file and trims surrounding white space.
func ReadSecret(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "secret")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("secret %s: %d bytes, want at least %d", file, len(secret), minSecretBytes)
	}
	return secret, nil
}

// fieldErrors collects the validation errors of a Settings.
type fieldErrors []string

func (f *fieldErrors) add(field, found, allowed string) {
	*f = append(*f, field+": "+found+"; allowed: "+allowed)
}

func (f *fieldErrors) require(field, value string) {
	if value == "" {
		f.add(field, "missing", "a value")
	}
}

func (f *fieldErrors) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(field, quoted(value), `an IP address with a port, such as "10.0.0.1:8080"`)
	}
}

func (f *fieldErrors) between(field string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		f.add(field, number(value), number(minimum)+" to "+number(maximum))
	}
}

func (f *fieldErrors) duration(field string, value config.Duration, minimum, maximum time.Duration) {
	if d := time.Duration(value); d < minimum || d > maximum {
		f.add(field, d.String(), minimum.String()+" to "+maximum.String())
	}
}

func (f *fieldErrors) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	f.add(field, quoted(value), strings.Join(allowed, ", "))
}

func (f *fieldErrors) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.Newf("%d invalid fields:\n  %s", len(*f), strings.Join(*f, "\n  "))
}
