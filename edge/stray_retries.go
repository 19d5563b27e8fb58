package edge

import (
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// countStrayRetry counts a retry that reached a server of another service against that
// service's budget. It returns the totals to publish, nil if the service isn't known yet.
func (e *Edge) countStrayRetry(a *attempt, meant string, now time.Duration) []evidence.ServiceAttempts {
	if a.result != health.Misdirected || a.number == 1 {
		return nil
	}
	address := a.choice.Server.Address
	e.state.strayRetries.Add(address, placement.Hash(meant), now)
	service, known := e.state.placer.ServiceAt(address)
	if !known || service == meant {
		return nil
	}
	return e.takeStrayRetries(address, service, now)
}

// takeStrayRetries counts the stray retries at an address against the service whose server
// has it.
func (e *Edge) takeStrayRetries(address, service string, now time.Duration) []evidence.ServiceAttempts {
	count := e.state.strayRetries.Take(address, placement.Hash(service), now)
	if count == 0 {
		return nil
	}
	for range count {
		e.state.budgets.Service(placement.Hash(service)).Count(true, now)
	}
	return e.serviceAttempts(service)
}

// countStrayRetriesOf counts the stray retries at the address of a server whose entry has
// arrived, and publishes the totals.
func (e *Edge) countStrayRetriesOf(s discovery.Server, now time.Duration) {
	if totals := e.takeStrayRetries(s.Address, s.Service, now); totals != nil {
		e.publish(evidence.Message{ServiceAttempts: totals}, false)
	}
}
