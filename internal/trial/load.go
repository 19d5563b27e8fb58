package trial

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/internal/measure"
	"foxtailspoke/operator"
	"foxtailspoke/operator/fleet"
	"foxtailspoke/storage/client"
)

// LoadOptions configures a measurement of the latency that an entry instance adds.
type LoadOptions struct {
	// Entry is the address for callers of the entry instance, "ip:port".
	Entry string
	// Platform is the platform's URL.
	Platform string
	// TokenFile holds the operators' token.
	TokenFile string
	// Workspace owns the requests; its plan must allow the highest rate.
	Workspace string
	// Path is the path of the lookup, which every backend server must serve.
	Path     string
	Backends []Backend
	// Rates are in requests per second, sent at once directly and through the entry.
	Rates []int
	// RateDuration is the duration of each rate.
	RateDuration time.Duration
	// EntryPID is the entry's process ID, for its CPU time; 0 skips that.
	EntryPID int
}

// Limits of a measurement. Check also requires loopback addresses.
const (
	maxLoadRate     = 5000
	maxRateDuration = time.Minute
	warmUpDuration  = 15 * time.Second
)

// Check validates the options.
func (o LoadOptions) Check() error {
	if o.RateDuration <= 0 || o.RateDuration > maxRateDuration {
		return errors.Newf("trial: duration of a rate must be positive and at most %s, got %s", maxRateDuration, o.RateDuration)
	}
	for _, rate := range o.Rates {
		if rate < 1 || rate > maxLoadRate {
			return errors.Newf("trial: rate must be from 1 to %d requests per second, got %d", maxLoadRate, rate)
		}
	}
	addresses := []string{o.Entry}
	for _, b := range o.Backends {
		addresses = append(addresses, b.Address)
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return errors.Newf("trial: %q isn't a loopback address with a port", address)
		}
	}
	return nil
}

// Load sends the same lookup directly to the backend servers and through the
// entry instance at each rate, and returns one step per rate.
func Load(ctx context.Context, o LoadOptions) ([]measure.Step, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	key, err := loadKey(ctx, o)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, b := range o.Backends {
		addresses = append(addresses, b.Address)
	}
	pair := measure.Pair{
		Direct:  measure.NewTarget(addresses, o.Path, directHeader(o.Workspace)),
		Through: measure.NewTarget([]string{o.Entry}, o.Path, http.Header{"Authorization": {"Bearer " + key}}),
		PID:     o.EntryPID,
	}
	defer pair.Close()
	if err := pair.WarmUp(ctx, warmUpDuration); err != nil {
		return nil, err
	}
	var steps []measure.Step
	for _, rate := range o.Rates {
		step, err := pair.Run(ctx, rate, o.RateDuration)
		if err != nil {
			return steps, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// directHeader returns the header fields that an entry instance adds to attempts.
func directHeader(workspace string) http.Header {
	return http.Header{
		"Foxtailspoke-Attempt":    {"direct.1"},
		"Foxtailspoke-Workspace":  {workspace},
		"Foxtailspoke-Timeout-Ms": {"2000"},
	}
}

// loadKey creates an API key for the workspace and waits until it is in force.
func loadKey(ctx context.Context, o LoadOptions) (string, error) {
	platform, err := client.New(o.Platform, client.Settings{Timeout: fleetTimeout})
	if err != nil {
		return "", err
	}
	defer platform.Close()
	token, err := fleet.ReadToken(o.TokenFile)
	if err != nil {
		return "", err
	}
	op := operator.New(platform, operator.Settings{OperatorName: "trial"})
	change, err := op.IssueKey(ctx, o.Workspace, "load "+time.Now().UTC().Format("15:04:05.000"))
	if err != nil {
		return "", err
	}
	if _, err := op.WaitInForce(ctx, fleet.New(platform, token, fleetTimeout), change.Revision); err != nil {
		return "", err
	}
	return change.Secret.Reveal(), nil
}
