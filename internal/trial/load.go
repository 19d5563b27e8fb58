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

// LoadOptions of a measurement of the time that an entry instance adds.
type LoadOptions struct {
	// Entry is the address for callers of the entry instance, "ip:port".
	Entry string
	// Platform is the platform's URL.
	Platform string
	// TokenFile holds the operators' token.
	TokenFile string
	// Workspace sends the requests; its plan allows the highest rate.
	Workspace string
	// Path of the lookup, which every one of the backend servers answers.
	Path     string
	Backends []Backend
	// Rates in requests a second, for each of the two ways at once.
	Rates []int
	// RateDuration is how long each rate lasts.
	RateDuration time.Duration
	// EntryPID is the entry's process, to read its processor time; 0 for none.
	EntryPID int
}

// Bounds of a measurement: it must end, and it stays on this machine.
const (
	maxLoadRate = 5000
	maxLoadFor  = time.Minute
	warmUpFor   = 15 * time.Second
)

// Check returns what is wrong with the options.
func (o LoadOptions) Check() error {
	if o.RateDuration <= 0 || o.RateDuration > maxLoadFor {
		return errors.Newf("trial: a rate lasts up to %s, not %s", maxLoadFor, o.RateDuration)
	}
	for _, rate := range o.Rates {
		if rate < 1 || rate > maxLoadRate {
			return errors.Newf("trial: a rate is from 1 to %d requests a second, not %d", maxLoadRate, rate)
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

// Load sends the same lookup straight to the backend servers and through the
// entry instance, at each rate, and returns one step a rate.
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
	if err := pair.WarmUp(ctx, warmUpFor); err != nil {
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

// directHeader is what an entry instance would send along.
func directHeader(workspace string) http.Header {
	return http.Header{
		"Foxtailspoke-Attempt":    {"direct.1"},
		"Foxtailspoke-Workspace":  {workspace},
		"Foxtailspoke-Timeout-Ms": {"2000"},
	}
}

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
	op := operator.New(platform, operator.Settings{Who: "trial"})
	change, err := op.IssueKey(ctx, o.Workspace, "load "+time.Now().UTC().Format("15:04:05.000"))
	if err != nil {
		return "", err
	}
	if _, err := op.WaitInForce(ctx, fleet.New(platform, token, fleetTimeout), change.Revision); err != nil {
		return "", err
	}
	return change.Secret.Reveal(), nil
}
