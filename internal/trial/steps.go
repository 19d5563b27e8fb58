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

func (w *scenario) lookup(ctx context.Context) error {
	addresses, err := w.caller.Addresses(ctx)
	if err != nil {
		return err
	}
	w.printf("  The caller was told to use %s.", strings.Join(addresses, ", "))
	a, err := w.caller.Send(ctx, http.MethodGet, "/catalogue/marine-plywood", "", nil)
	if err != nil {
		return err
	}
	w.check(a.Status == http.StatusOK && a.Outcome == "served", "answered %d (%s) in %s: %s", a.Status, a.Outcome, a.Latency.Round(time.Millisecond), strings.TrimSpace(string(a.Body)))
	return nil
}

func (w *scenario) order(ctx context.Context) error {
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
			w.check(a.Outcome == "served", "the first request at %s was answered %d (%s)", address, a.Status, a.Outcome)
			continue
		}
		same := bytes.Equal(a.Body, first.Body)
		w.check(a.Outcome == "ran-before" && same, "the repeat at %s got the first answer again (%s)", address, a.Outcome)
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
	w.check(times == 1, "backend servers ran the order %d time(s)", times)
	return nil
}

func (w *scenario) photo(ctx context.Context) error {
	photo := bytes.Repeat([]byte("joint"), 1<<20)
	sum := sha256.Sum256(photo)
	a, err := w.caller.Send(ctx, http.MethodPost, "/photos/1", "", photo)
	if err != nil {
		return err
	}
	complete := strings.Contains(string(a.Body), hex.EncodeToString(sum[:]))
	w.check(a.Status == http.StatusOK && complete, "the backend server got all %d bytes in %s", len(photo), a.Latency.Round(time.Millisecond))
	return nil
}

const (
	// benchRate, per second, and benchBurst are the limits of the plan "bench" in
	// examples/trial.
	benchRate  = 20
	benchBurst = 40

	floodRequests = 400
)

func (w *scenario) flood(ctx context.Context) error {
	addresses, err := w.other.Addresses(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	served, refused, unexpected := 0, 0, 0
	var refusal Response
	for i := range floodRequests {
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
			unexpected++
		}
	}
	took := time.Since(start)
	allowed := benchBurst + benchRate*took.Seconds()
	w.printf("  %d requests in %s over all instances: %d served, %d refused.", floodRequests, took.Round(time.Millisecond), served, refused)
	w.check(float64(served) <= allowed+1, "no more were served than the plan allows (%.0f)", allowed)
	w.check(unexpected == 0, "every refusal said that nothing was run")
	w.printf("  A refusal reads: %s", refusal.Problem.Detail)
	a, err := w.caller.Send(ctx, http.MethodGet, "/catalogue/glue", "", nil)
	if err != nil {
		return err
	}
	w.check(a.Outcome == "served", "another workspace was served meanwhile in %s", a.Latency.Round(time.Millisecond))
	return nil
}

const (
	grayRequests = 300
	grayPause    = 12 * time.Millisecond
)

func (w *scenario) gray(ctx context.Context) error {
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
		// Spread the requests over all entry instances, as many callers would.
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
	w.check(served == grayRequests, "%d of %d lookups were answered whole, the slowest in %s", served, grayRequests, worst.Round(time.Millisecond))
	w.check(ejectedAfter > 0, "the server was taken out of use fleet-wide after %s", ejectedAfter.Round(10*time.Millisecond))
	return nil
}

// isEjected reports whether an entry instance lists an ejected server of the
// service of b.
func (w *scenario) isEjected(ctx context.Context, b Backend) bool {
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

func (w *scenario) withdraw(ctx context.Context) error {
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
	w.check(stopped > 0 && stopped < 3*time.Second, "the caller was refused on its open connection after %s", stopped.Round(10*time.Millisecond))
	force, err := w.operator.WaitInForce(ctx, w.fleet, change.Revision)
	if err != nil {
		return err
	}
	w.check(force.InForce, "nobody accepts the key any more; known for sure after %s", time.Since(start).Round(10*time.Millisecond))
	return nil
}

// secrets checks that no stand-in received an API key. The workspace name, which
// they do receive, verifies the search itself.
func (w *scenario) secrets(ctx context.Context) error {
	found, err := receivedSecrets(ctx, w.Backends)
	if err != nil {
		return err
	}
	leaked := 0
	for _, key := range w.keys {
		if found[key] {
			leaked++
		}
	}
	w.check(leaked == 0 && found[callerWorkspace],
		"%d of the %d keys are in the bytes that the %d backend servers received; the workspace's name is",
		leaked, len(w.keys), len(w.Backends))
	return nil
}
