package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin/rowstore"
)

// A key is revoked. Each instance must refuse it within two seconds, including
// those that never poll the store.
func TestRevokedKeyIsRefusedByAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(4)
	for i := range 4 {
		r, _ := f.lookup(i)
		must.Eq(t, http.StatusOK, r.status)
	}
	f.configure(1000, "another")
	for i := range 4 {
		eventually(t, 1500*time.Millisecond, "the key is refused", func() bool {
			r, _ := f.lookup(i)
			return r.status == http.StatusUnauthorized
		})
	}
}

// Instances share what one of them reads. If each polled the store itself,
// eight instances would make 35 calls a second.
func TestInstancesShareStoreReads(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(8)
	time.Sleep(2 * time.Second)
	before := f.store.RequestCount()
	time.Sleep(3 * time.Second)
	must.Less(t, 3*8, f.store.RequestCount()-before)
}

// The store refuses one instance and serves the others. That instance must keep
// serving and receive changes from the others.
func TestInstanceRefusedByTheStoreKeepsServing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(3)
	f.store.SetFault(func(ip string) rowstore.Fault {
		if ip == f.ip(1) {
			return rowstore.Unavailable
		}
		return rowstore.NoFault
	})
	f.configure(1000, "another")
	eventually(t, 2*time.Second, "the new configuration is active", func() bool {
		r, _ := f.lookup(1)
		return r.status == http.StatusUnauthorized
	})
	f.configure(1000, key)
	eventually(t, 2*time.Second, "the next configuration is active", func() bool {
		r, _ := f.lookup(1)
		return r.status == http.StatusOK
	})
	time.Sleep(revokeS * time.Second)
	r, _ := f.lookup(1)
	must.Eq(t, http.StatusOK, r.status)
}

// The store is unavailable to all. A short outage refuses no request. Once a
// key could have been revoked without the instance knowing, no request with a
// key is admitted. After the outage everything is served again.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(2)
	for _, fault := range []rowstore.Fault{rowstore.NoResponse, rowstore.ConnectionReset, rowstore.TooManyRequests} {
		f.store.SetFault(func(string) rowstore.Fault { return fault })
		time.Sleep(time.Second)
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
		time.Sleep(revokeS * time.Second)
		ran := b.total()
		r, _ = f.lookup(0)
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Eq(t, ran, b.total())
		must.False(t, f.ready(0))
		must.Len(t, 0, f.addresses(0))
		r, _ = f.call(0, http.MethodGet, "/public/1", "", nil)
		must.Eq(t, http.StatusOK, r.status)
		f.store.SetFault(nil)
		eventually(t, 3*time.Second, "served again", func() bool {
			r, _ := f.lookup(0)
			return r.status == http.StatusOK && f.ready(0)
		})
	}
}

// An instance starts while the store refuses it. The data of its peers is
// enough to serve.
func TestStartWhileTheStoreRefusesTheInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(2)
	f.store.SetFault(func(ip string) rowstore.Fault {
		if ip == f.ip(2) {
			return rowstore.ConnectionReset
		}
		return rowstore.NoFault
	})
	n := f.start(nil)
	eventually(t, 5*time.Second, "the new instance serves", func() bool {
		r, _ := f.lookup(n)
		return r.status == http.StatusOK && f.ready(n)
	})
}

// The newest configuration can't be decoded. It may revoke keys of the former
// one, so requests with keys are refused once the age of the former can't be
// proved; the next valid configuration restores service.
func TestUndecodableConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(1)
	f.store.Put("op", "config", []byte(`{"version":"zz"`))
	eventually(t, 5*time.Second, "not ready", func() bool { return !f.ready(0) })
	eventually(t, 5*time.Second, "refused", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusServiceUnavailable
	})
	must.StrContains(t, f.instances[0].log.String(), `"event":512`)
	f.configure(1000, key)
	eventually(t, 3*time.Second, "served again", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusOK && f.ready(0)
	})
}

// A server drains or its entry is removed. It must get no more requests from
// any instance within two seconds.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.backend("i-1", nil), f.backend("i-2", nil)
	f.backend("i-3", nil)
	f.configure(1000, key)
	f.startAll(3)
	f.writeEntry(a, "draining")
	f.store.Remove("servers", "i-2")
	time.Sleep(1500 * time.Millisecond)
	before := a.total() + b.total()
	for i := range 30 {
		r, _ := f.lookup(i % 3)
		must.Eq(t, http.StatusOK, r.status)
	}
	must.Eq(t, before, a.total()+b.total())
}

// Entries expire during a store outage and reappear two seconds after its end.
// Requests in between must be served by the servers known before.
func TestEntriesExpiredDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.start(func(s *settings.Settings) { s.Bounds.RevokeS = 30 })
	eventually(t, 3*time.Second, "ready", func() bool { return f.ready(0) })
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	time.Sleep(2500 * time.Millisecond)
	f.store.Remove("servers", "i-1")
	f.store.SetFault(nil)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
	}
	f.writeEntry(b, "ready")
	time.Sleep(2 * time.Second)
	r, _ := f.lookup(0)
	must.Eq(t, http.StatusOK, r.status)
}

// The store truncates its history. Changes that no instance has read must not
// be missed.
func TestStoreHistoryTruncated(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(2)
	f.configure(1000, "another")
	f.store.TruncateHistory()
	for i := range 2 {
		eventually(t, 2*time.Second, "the new configuration is active", func() bool {
			r, _ := f.lookup(i)
			return r.status == http.StatusUnauthorized
		})
	}
}
