package entry

import (
	"log/slog"

	"foxtailspoke/effect"
	"foxtailspoke/entry/callers"
	"foxtailspoke/entry/metrics"
	"foxtailspoke/entry/peers"
	"foxtailspoke/entry/records"
	"foxtailspoke/entry/store"
	"foxtailspoke/event"
	"foxtailspoke/node"
)

// driver executes a node's effects. No method blocks.
type driver struct {
	log     *slog.Logger
	metrics *metrics.Metrics
	callers *callers.Service
	records *records.Writer
	store   *store.Store
	peers   *peers.Peers
	probes  *prober
}

// Dispatch implements loop.Dispatcher.
func (d *driver) Dispatch(n *node.Node, e node.Effect) {
	switch e := e.(type) {
	case node.StartAttempt:
		d.callers.StartAttempt(e)
	case node.CancelAttempt:
		d.callers.CancelAttempt(e)
	case node.Relay, node.Refuse, node.Repeat, node.Located:
		d.callers.Answer(e)
	case node.Recorded:
		d.metrics.Recorded(e.Record)
		d.records.Add(e.Record)
	case node.Noted:
		d.metrics.Noted(e)
		d.logNote(e)
	case node.StartProbe:
		d.probes.start(e)
	case node.ReplyCall:
		d.peers.Reply(e)
	case effect.Call:
		d.peers.Call(e, n.PeerAddress(e.To))
	case effect.ReadTable:
		d.store.ReadTable(e)
	case effect.WriteTable:
		d.store.WriteTable(e)
	case effect.ReadInstances:
		d.store.ReadInstances(e)
	default:
		panic("entry: effect of unknown type")
	}
}

// noteEvents maps the notes of a node to log events.
var noteEvents = map[node.Note]event.Event{
	node.NoteEjected:      event.ServerEjected,
	node.NoteReturned:     event.ServerReturned,
	node.NoteShardWritten: event.ShardWritten,
	node.NoteConfirmation: event.ConfirmationChanged,
}

func (d *driver) logNote(e node.Noted) {
	logged, ok := noteEvents[e.Note]
	if !ok {
		return // exported as a metric only
	}
	logged.Log(d.log, slog.String("subject", e.Subject), slog.String("detail", e.Detail))
}
