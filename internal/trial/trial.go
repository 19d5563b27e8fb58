// Package trial walks through what callers of a running system see: a lookup,
// an order with repeats, a photo, a flood, a gray backend server and a
// withdrawn key. It says for each whether it went as promised.
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

// Options of a walk.
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

// walk is the state of one walk.
type walk struct {
	Options
	operator *operator.Operator
	fleet    operator.Fleet
	// caller belongs to cebu-boatyard, other to bohol-guitars.
	caller, other *Caller
	keys          []string
	broken        int
}

const (
	callerWorkspace = "cebu-boatyard"
	otherWorkspace  = "bohol-guitars"
	fleetTimeout    = 2 * time.Second
)

// Run walks and returns how many promises were broken.
func Run(ctx context.Context, o Options) (int, error) {
	w, err := prepare(ctx, o)
	if err != nil {
		return 0, err
	}
	for _, step := range []struct {
		title string
		do    func(context.Context) error
	}{
		{"A lookup", w.lookup},
		{"An order, repeated under the same idempotency key", w.order},
		{"A photo of 5 MB", w.photo},
		{"One workspace floods", w.flood},
		{"A backend server goes gray: it sends half answers and reports that it is well", w.gray},
		{"A key is withdrawn while its caller is connected", w.withdraw},
		{"What backend servers saw of the keys", w.secrets},
	} {
		w.say("\n%s", step.title)
		if err := step.do(ctx); err != nil {
			return w.broken, err
		}
	}
	return w.broken, nil
}

func prepare(ctx context.Context, o Options) (*walk, error) {
	platform, err := client.New(o.Platform, client.Settings{Timeout: fleetTimeout})
	if err != nil {
		return nil, err
	}
	token, err := fleet.ReadToken(o.TokenFile)
	if err != nil {
		return nil, err
	}
	w := &walk{
		Options:  o,
		operator: operator.New(platform, operator.Settings{Who: "trial"}),
		fleet:    fleet.New(platform, token, fleetTimeout),
	}
	if w.caller, err = w.newCaller(ctx, callerWorkspace); err != nil {
		return nil, err
	}
	if w.other, err = w.newCaller(ctx, otherWorkspace); err != nil {
		return nil, err
	}
	return w, watch(ctx, w.Backends, append([]string{callerWorkspace}, w.keys...))
}

// newCaller gives a workspace a key and waits until it works everywhere.
func (w *walk) newCaller(ctx context.Context, workspace string) (*Caller, error) {
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

func (w *walk) say(format string, args ...any) {
	_, _ = fmt.Fprintf(w.Out, format+"\n", args...)
}

// promise notes whether something went as promised.
func (w *walk) promise(kept bool, format string, args ...any) {
	mark := "as promised:"
	if !kept {
		mark = "NOT AS PROMISED:"
		w.broken++
	}
	w.say("  %s %s", mark, fmt.Sprintf(format, args...))
}

func keySelector(key string) operator.KeySelector { return operator.KeySelector{Key: key} }
