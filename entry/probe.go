package entry

import (
	"context"
	"net/http"

	"foxtailspoke/entry/attempt"
	"foxtailspoke/entry/callers"
	"foxtailspoke/node"
)

// probePath is what a backend server answers by doing a little real work, if
// it knows it. Another status than 5xx counts as an answer.
const probePath = "/-/health"

// prober sends probes to ejected backend servers.
type prober struct {
	sender *attempt.Sender
	loop   interface{ Submit(node.Event) }
}

func newProber(s *attempt.Sender, l interface{ Submit(node.Event) }) *prober {
	return &prober{sender: s, loop: l}
}

// start carries out the effect. It doesn't block.
func (p *prober) start(e node.StartProbe) {
	go func() {
		o := p.sender.Send(context.Background(), attempt.Request{
			Attempt: "probe." + e.Probe.Server,
			Address: e.Server.Address,
			Method:  http.MethodGet,
			URI:     probePath,
			Body:    attempt.NoBody(),
			Timeout: e.Timeout,
		})
		if o.Rest != nil {
			_ = o.Rest.Close()
		}
		p.loop.Submit(node.ProbeEnded{Probe: e.Probe, Result: callers.Result(o), Latency: o.Latency})
	}()
}
