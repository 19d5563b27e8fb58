package trial

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"
)

func (w *walk) lookup(ctx context.Context) error {
	addresses, err := w.caller.Addresses(ctx)
	if err != nil {
		return err
	}
	w.say("  The caller was told to use %s.", strings.Join(addresses, ", "))
	a, err := w.caller.Send(ctx, http.MethodGet, "/catalogue/marine-plywood", "", nil)
	if err != nil {
		return err
	}
	w.promise(a.Status == http.StatusOK && a.Outcome == "served", "answered %d (%s) in %s: %s", a.Status, a.Outcome, a.Latency.Round(time.Millisecond), strings.TrimSpace(string(a.Body)))
	return nil
}

func (w *walk) order(ctx context.Context) error {
	operation, err := w.caller.Operation(ctx)
	if err != nil {
		return err
	}
	addresses, err := w.caller.Addresses(ctx)
	if err != nil {
		return err
	}
	body := []byte(`{"item":"cartridge","count":1}`)
	var first Response
	for i, address := range append([]string{operation.Address, operation.Address}, addresses...) {
		a, err := w.caller.SendTo(ctx, address, http.MethodPost, "/orders/", operation.Key, body)
		if err != nil {
			return err
		}
		if i == 0 {
			first = a
			w.promise(a.Outcome == "served", "the first request at %s was answered %d (%s)", address, a.Status, a.Outcome)
			continue
		}
		same := bytes.Equal(a.Body, first.Body)
		w.promise(a.Outcome == "ran-before" && same, "the repeat at %s got the first answer again (%s)", address, a.Outcome)
	}
	ran, err := executions(ctx, w.Backends, "ordering")
	if err != nil {
		return err
	}
	times := 0
	for _, e := range ran {
		if e.Operation == operation.Key {
			times++
		}
	}
	w.promise(times == 1, "backend servers ran the order %d time(s)", times)
	return nil
}

func (w *walk) photo(ctx context.Context) error {
	photo := bytes.Repeat([]byte("joint"), 1<<20)
	sum := sha256.Sum256(photo)
	a, err := w.caller.Send(ctx, http.MethodPost, "/photos/1", "", photo)
	if err != nil {
		return err
	}
	whole := strings.Contains(string(a.Body), hex.EncodeToString(sum[:]))
	w.promise(a.Status == http.StatusOK && whole, "the backend server got all %d bytes in %s", len(photo), a.Latency.Round(time.Millisecond))
	return nil
}

// Limits of the plan "bench" in examples/trial.
const (
	benchRate  = 20
	benchBurst = 40
	floodSize  = 400
)

func (w *walk) flood(ctx context.Context) error {
	addresses, err := w.other.Addresses(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	served, refused, wrong := 0, 0, 0
	var refusal Response
	for i := range floodSize {
		a, err := w.other.SendTo(ctx, addresses[i%len(addresses)], http.MethodGet, "/catalogue/glue", "", nil)
		if err != nil {
			return err
		}
		switch {
		case a.Outcome == "served":
			served++
		case a.Status == http.StatusTooManyRequests && a.Outcome == "not-run":
			refused++
			refusal = a
		default:
			wrong++
		}
	}
	took := time.Since(start)
	allowed := benchBurst + benchRate*took.Seconds()
	w.say("  %d requests in %s over all instances: %d served, %d refused.", floodSize, took.Round(time.Millisecond), served, refused)
	w.promise(float64(served) <= allowed+1, "no more were served than the plan allows (%.0f)", allowed)
	w.promise(wrong == 0, "every refusal said that nothing was run")
	w.say("  A refusal reads: %s", refusal.Problem.Detail)
	a, err := w.caller.Send(ctx, http.MethodGet, "/catalogue/glue", "", nil)
	if err != nil {
		return err
	}
	w.promise(a.Outcome == "served", "another workspace was served meanwhile in %s", a.Latency.Round(time.Millisecond))
	return nil
}

const (
	grayRequests = 300
	grayPause    = 12 * time.Millisecond
)

func (w *walk) gray(ctx context.Context) error {
	var gray Backend
	for _, b := range w.Backends {
		if b.Service == "catalogue" {
			gray = b
		}
	}
	if err := setFaults(ctx, gray, map[string]any{"halfRatio": 1, "health": "ok"}); err != nil {
		return err
	}
	defer func() { _ = setFaults(context.WithoutCancel(ctx), gray, nil) }()
	addresses, err := w.caller.Addresses(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	served, worst := 0, time.Duration(0)
	var ejectedAfter time.Duration
	for i := range grayRequests {
		// The workspace has many callers, so its requests come in everywhere.
		a, err := w.caller.SendTo(ctx, addresses[i%len(addresses)], http.MethodGet, "/catalogue/narra", "", nil)
		if err != nil {
			return err
		}
		if a.Outcome == "served" {
			served++
		}
		worst = max(worst, a.Latency)
		if ejectedAfter == 0 && w.isEjected(ctx, gray) {
			ejectedAfter = time.Since(start)
		}
		time.Sleep(grayPause)
	}
	w.promise(served == grayRequests, "%d of %d lookups were answered whole, the slowest in %s", served, grayRequests, worst.Round(time.Millisecond))
	w.promise(ejectedAfter > 0, "the server was taken out of use fleet-wide after %s", ejectedAfter.Round(10*time.Millisecond))
	return nil
}

// isEjected asks any entry instance whether a backend server is ejected.
func (w *walk) isEjected(ctx context.Context, b Backend) bool {
	entries, err := w.fleet.Entries(ctx)
	if err != nil || len(entries) == 0 {
		return false
	}
	status, err := w.fleet.Status(ctx, entries[0])
	if err != nil {
		return false
	}
	for _, s := range status.Services {
		if s.Name == b.Service && len(s.Ejected) > 0 {
			return true
		}
	}
	return false
}

func (w *walk) withdraw(ctx context.Context) error {
	key := w.keys[len(w.keys)-1]
	change, err := w.operator.RevokeKey(ctx, keySelector(key))
	if err != nil {
		return err
	}
	start := time.Now()
	stopped := time.Duration(0)
	for stopped == 0 && time.Since(start) < 5*time.Second {
		a, err := w.other.Send(ctx, http.MethodGet, "/catalogue/glue", "", nil)
		if err != nil || a.Status == http.StatusUnauthorized {
			stopped = time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.promise(stopped > 0 && stopped < 3*time.Second, "the caller was refused on its open connection after %s", stopped.Round(10*time.Millisecond))
	force, err := w.operator.WaitInForce(ctx, w.fleet, change.Revision)
	if err != nil {
		return err
	}
	w.promise(force.InForce, "nobody accepts the key any more; known for sure after %s", time.Since(start).Round(10*time.Millisecond))
	return nil
}

// secrets looks for the keys in what the stand-ins received. The workspace's
// name, which they do receive, shows that the search works.
func (w *walk) secrets(ctx context.Context) error {
	found, err := seen(ctx, w.Backends)
	if err != nil {
		return err
	}
	leaked := 0
	for _, key := range w.keys {
		if found[key] {
			leaked++
		}
	}
	w.promise(leaked == 0 && found[callerWorkspace],
		"%d of the %d keys are in the bytes that the %d backend servers received; the workspace's name is",
		leaked, len(w.keys), len(w.Backends))
	return nil
}
