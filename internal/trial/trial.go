// Package trial checks a running system end to end from the caller's side: a
// lookup, an order with repeats, a large upload, a request flood, a backend
// server with a gray failure and a withdrawn key. It reports the result of each
// check, and measures the latency that an entry instance adds.
package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"foxtailspoke/operator"
	"foxtailspoke/operator/fleet"
	"foxtailspoke/storage/client"
)

// Options configures Run.
type Options struct {
	// Entry is the address for callers of any entry instance, "ip:port".
	Entry string
	// Platform is the platform's URL.
	Platform string
	// TokenFile holds the operators' token.
	TokenFile string
	Backends  []Backend
	Out       io.Writer
}

// scenario is the state of one run.
type scenario struct {
	Options
	operator *operator.Operator
	fleet    operator.Fleet
	// caller belongs to cebu-boatyard, other to bohol-guitars.
	caller, other *Caller
	keys          []string
	failures      int
}

const (
	callerWorkspace = "cebu-boatyard"
	otherWorkspace  = "bohol-guitars"
	fleetTimeout    = 2 * time.Second
)

// Run runs all steps and returns the number of failed checks.
func Run(ctx context.Context, o Options) (int, error) {
	w, err := prepare(ctx, o)
	if err != nil {
		return 0, err
	}
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"A lookup", w.lookup},
		{"An order, repeated under the same idempotency key", w.order},
		{"A photo of 5 MB", w.photo},
		{"One workspace floods", w.flood},
		{"A backend server goes gray: it sends half answers and reports that it is well", w.gray},
		{"A key is withdrawn while its caller is connected", w.withdraw},
		{"What backend servers saw of the keys", w.secrets},
	} {
		w.printf("\n%s", step.title)
		if err := step.run(ctx); err != nil {
			return w.failures, err
		}
	}
	return w.failures, nil
}

func prepare(ctx context.Context, o Options) (*scenario, error) {
	platform, err := client.New(o.Platform, client.Settings{Timeout: fleetTimeout})
	if err != nil {
		return nil, err
	}
	token, err := fleet.ReadToken(o.TokenFile)
	if err != nil {
		return nil, err
	}
	w := &scenario{
		Options:  o,
		operator: operator.New(platform, operator.Settings{OperatorName: "trial"}),
		fleet:    fleet.New(platform, token, fleetTimeout),
	}
	if w.caller, err = w.newCaller(ctx, callerWorkspace); err != nil {
		return nil, err
	}
	if w.other, err = w.newCaller(ctx, otherWorkspace); err != nil {
		return nil, err
	}
	return w, setSecrets(ctx, w.Backends, append([]string{callerWorkspace}, w.keys...))
}

// newCaller creates an API key for a workspace, waits until it is in force on
// all entry instances and returns a caller that uses it.
func (w *scenario) newCaller(ctx context.Context, workspace string) (*Caller, error) {
	change, err := w.operator.IssueKey(ctx, workspace, "trial "+time.Now().UTC().Format("15:04:05.000"))
	if err != nil {
		return nil, err
	}
	if _, err := w.operator.WaitInForce(ctx, w.fleet, change.Revision); err != nil {
		return nil, err
	}
	key := change.Secret.Reveal()
	w.keys = append(w.keys, key)
	return NewCaller(w.Entry, key), nil
}

func (w *scenario) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(w.Out, format+"\n", args...)
}

// check prints the result of a check and counts it if it failed.
func (w *scenario) check(ok bool, format string, args ...any) {
	label := "as promised:"
	if !ok {
		label = "NOT AS PROMISED:"
		w.failures++
	}
	w.printf("  %s %s", label, fmt.Sprintf(format, args...))
}

func keySelector(key string) operator.KeySelector { return operator.KeySelector{Key: key} }
