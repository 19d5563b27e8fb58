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

// prober sends probes to ejected backend servers. A probe is an ordinary
// request to a path of the service, not to the health endpoint: a server may
// report good health while it fails real requests, and if it were reinstated
// on its report, it would fail callers again before its next ejection.
type prober struct {
	sender     *attempt.Sender
	loop       interface{ Submit(node.Event) }
	lastNumber atomic.Uint64
}

func newProber(s *attempt.Sender, l interface{ Submit(node.Event) }) *prober {
	return &prober{sender: s, loop: l}
}

// start executes the effect. It doesn't block. Each probe has a unique ID, so
// that a late answer to an earlier probe isn't attributed to it.
func (p *prober) start(e node.StartProbe) {
	id := "probe." + e.Probe.Server + "." + strconv.FormatUint(p.lastNumber.Add(1), 10)
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
