package callers

import (
	"net/http"
	"sync"

	"foxtailspoke/claim"
	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
	"foxtailspoke/node"
)

// exchange is the state of one request while its handler runs.
type exchange struct {
	id   string
	http *http.Request
	body *attempt.Body
	// answers receives at most one value.
	answers chan answer

	mu sync.Mutex
	// finished is set when the handler has returned or is about to return.
	finished bool
	// outcomes holds the finished attempts by id.
	outcomes map[string]attempt.Outcome
}

// answer is the decision of the node; exactly one of outcome, refusal, stored
// and located is set.
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

// addOutcome stores the outcome of an attempt until the node has decided. If the
// exchange has finished, it closes the response and returns false.
func (x *exchange) addOutcome(id string, o attempt.Outcome) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.finished {
		x.outcomes[id] = o
		return true
	}
	closeRest(o)
	return false
}

// deliver passes the answer to the handler.
func (x *exchange) deliver(a answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
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

// finish ends the exchange and returns the attempts whose streamed responses it
// aborted, which excludes the one that the handler relayed.
func (x *exchange) finish(relayed string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	var aborted []string
	for id, o := range x.outcomes {
		if o.Rest == nil {
			continue
		}
		closeRest(o)
		if id != relayed {
			aborted = append(aborted, id)
		}
	}
	clear(x.outcomes)
	return aborted
}

func closeRest(o attempt.Outcome) {
	if o.Rest != nil {
		_ = o.Rest.Close()
	}
}
