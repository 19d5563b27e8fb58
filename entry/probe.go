package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"foxtailspoke/entry/attempt"
	"foxtailspoke/entry/callers"
	"foxtailspoke/node"
)

// prober sends probes to ejected backend servers. A probe is a request like a
// caller's, to the service's own path: servers go on reporting good health
// while they fail real requests, and one that came back by its report would
// be ejected again after it has failed callers again.
type prober struct {
	sender *attempt.Sender
	loop   interface{ Submit(node.Event) }
	number atomic.Uint64
}

func newProber(s *attempt.Sender, l interface{ Submit(node.Event) }) *prober {
	return &prober{sender: s, loop: l}
}

// start carries out the effect. It doesn't block. Each probe has an id of its
// own, so that a late answer to the one before doesn't count for it.
func (p *prober) start(e node.StartProbe) {
	id := "probe." + e.Probe.Server + "." + strconv.FormatUint(p.number.Add(1), 10)
	go func() {
		o := p.sender.Send(context.Background(), attempt.Request{
			Attempt: id,
			Address: e.Server.Address,
			Method:  http.MethodGet,
			URI:     e.Path,
			Body:    attempt.NoBody(),
			Timeout: e.Timeout,
		})
		if o.Rest != nil {
			_ = o.Rest.Close()
		}
		p.loop.Submit(node.ProbeEnded{Probe: e.Probe, Result: callers.HealthResult(o), Latency: o.Latency})
	}()
}
