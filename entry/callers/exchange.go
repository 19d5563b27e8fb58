package callers

import (
	"net/http"
	"sync"

	"foxtailspoke/claim"
	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
	"foxtailspoke/node"
)

// exchange is one caller's request while its handler runs.
type exchange struct {
	id   string
	http *http.Request
	body *attempt.Body
	// answers gets at most one answer.
	answers chan answer

	mu sync.Mutex
	// over is set when the handler has returned or is about to.
	over bool
	// outcomes are the attempts that ended with an answer.
	outcomes map[string]attempt.Outcome
}

// answer is what the node decided; one of outcome, refusal and stored is set.
type answer struct {
	attempt   string
	outcome   *attempt.Outcome
	forwarded bool
	refusal   *decision.Record
	addresses []string
	stored    *claim.Answer
	located   *node.Located
}

func newExchange(id string, r *http.Request, body *attempt.Body) *exchange {
	return &exchange{
		id:       id,
		http:     r,
		body:     body,
		answers:  make(chan answer, 1),
		outcomes: map[string]attempt.Outcome{},
	}
}

// keep holds an attempt's outcome until the node has decided. It returns
// false if nobody waits for it any more; its answer is then closed.
func (x *exchange) keep(id string, o attempt.Outcome) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.over {
		x.outcomes[id] = o
		return true
	}
	closeRest(o)
	return false
}

// deliver gives the handler its answer.
func (x *exchange) deliver(a answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return
	}
	if a.attempt != "" {
		o, ok := x.outcomes[a.attempt]
		if !ok {
			return
		}
		a.outcome = &o
	}
	select {
	case x.answers <- a:
	default:
	}
}

// finish ends the exchange and returns the attempts whose answers were
// streaming and now are cut off, except the one that the handler passed on.
func (x *exchange) finish(passedOn string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	var cut []string
	for id, o := range x.outcomes {
		if o.Rest == nil {
			continue
		}
		closeRest(o)
		if id != passedOn {
			cut = append(cut, id)
		}
	}
	clear(x.outcomes)
	return cut
}

func closeRest(o attempt.Outcome) {
	if o.Rest != nil {
		_ = o.Rest.Close()
	}
}
