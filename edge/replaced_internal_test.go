package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/freshness"
	"foxtailspoke/replica"
)

// holderID is an instance that has the newest configuration.
const holderID = 0x7f000063

// expiredInstance returns an instance whose proofs are of the given age, and the store that it read
// then. Changes must be in force within two seconds.
func expiredInstance(t *testing.T, age time.Duration) (*Edge, *configStore) {
	t.Helper()
	e := newIdleInstance(t)
	e.state.bounds = freshness.NewBounds(5*time.Second, 2*time.Second, 2*time.Second)
	store, begin := &configStore{}, e.now()-age
	store.write(begin)
	e.mu.Lock()
	defer e.mu.Unlock()
	completeRead(e, store.readConfigOf(e, begin), begin)
	completeRead(e, tableRead{table: evidence.Servers, result: replica.ReadResult{Version: 1, Full: true, StoreTime: begin}}, begin)
	must.NotNil(t, e.state.table)
	return e, store
}

// announceChange has a live instance announce that it has read a newer configuration.
func announceChange(t *testing.T, e *Edge, store *configStore, now time.Duration) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.messenger.Fleet().GetOrAdd(holderID, now).Alive = true
	store.write(now)
	holder := newIdleInstance(t)
	for _, n := range completeRead(holder, store.readConfigOf(holder, now), now) {
		e.applyMessage(updateFrom(holderID, n), now)
	}
}

// mustRefuse checks that the instance refuses requests as its copies aren't proved to be current.
func mustRefuse(t *testing.T, e *Edge) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.awaitProof(context.Background())
	must.NotNil(t, v)
	must.Eq(t, http.StatusServiceUnavailable, v.status)
	must.Eq(t, RuleUnverified, v.rule)
}

// An instance knows that its configuration was replaced; the instances that it fetches the newer one
// from and the store answer late. Guards against handling requests by the replaced one meanwhile.
func TestReplacedConfigurationIsNotUsed(t *testing.T) {
	e, store := expiredInstance(t, 1800*ms)
	announceChange(t, e, store, e.now()-1200*ms)
	e.state.lease.ObserveOwnFailure(e.now())
	mustRefuse(t, e)
}

// Another instance announced a failed read seconds ago, and this instance hasn't read the store since.
// Guards against taking that for an outage without end.
func TestOldFailureOfAnotherInstanceIsNoOutage(t *testing.T) {
	e, _ := expiredInstance(t, 6*time.Second)
	e.mu.Lock()
	e.applyTableUpdate(evidence.TableUpdate{}, e.now()-5*time.Second)
	e.mu.Unlock()
	mustRefuse(t, e)
}

// Guards against refusing requests in an outage of the store when nothing newer is known.
func TestLastConfigurationIsUsedWhileReadsFail(t *testing.T) {
	e, _ := expiredInstance(t, 1800*ms)
	e.state.lease.ObserveOwnFailure(e.now())
	e.mu.Lock()
	defer e.mu.Unlock()
	must.Nil(t, e.awaitProof(context.Background()))
}

// An instance lacks changes of the list of servers that another one announced, and its own reads
// fail. Guards against sending requests to servers that have left meanwhile.
func TestReplacedServerListIsNotUsed(t *testing.T) {
	e, _ := expiredInstance(t, 1800*ms)
	e.mu.Lock()
	now := e.now()
	e.state.messenger.Fleet().GetOrAdd(holderID, now).Alive = true
	storeClock, _ := e.state.clock.Now(now)
	gap := evidence.TableUpdate{Table: evidence.Servers, Since: 5, Version: 6, StoreClockUS: storeClock.Microseconds()}
	e.applyMessage(updateFrom(holderID, gap), now)
	e.state.lease.ObserveOwnFailure(now)
	e.mu.Unlock()
	mustRefuse(t, e)
}

// Guards against a crash by an update of a table that only a later version of the program knows.
func TestUpdateOfUnknownTableIsIgnored(t *testing.T) {
	e, _ := expiredInstance(t, time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	n := evidence.TableUpdate{Table: evidence.TableCount, Version: 6, StoreClockUS: 1}
	e.applyMessage(updateFrom(holderID, n), e.now())
}

// The store is away, and the instances that announced to have a newer configuration are dead. Guards
// against refusing requests until the store returns.
func TestReplacedConfigurationIsUsedIfNobodyHasTheNewOne(t *testing.T) {
	e, store := expiredInstance(t, 1800*ms)
	announceChange(t, e, store, e.now()-1200*ms)
	e.state.lease.ObserveOwnFailure(e.now())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.messenger.Fleet().All()[holderID].Alive = false
	must.Nil(t, e.awaitProof(context.Background()))
}

// updateFrom returns the message by which an instance announces a read.
func updateFrom(id uint32, n evidence.TableUpdate) *fleet.ReceivedMessage {
	m := evidence.Message{Source: id, TableUpdates: []evidence.TableUpdate{n}}
	return &fleet.ReceivedMessage{Message: m, From: &fleet.Instance{}}
}
