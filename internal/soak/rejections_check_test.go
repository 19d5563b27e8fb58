package soak_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a check that holds an instance to a rejection which only the process
// before its restart could receive.
func TestRejectionOfAnEndedProcessBindsNoInstance(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name      string
		restarted time.Duration
		violated  bool
	}{
		{"request of the running process", -2 * time.Second, true},
		{"request of the process before", -500 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &cluster{
				requests:       map[string]*request{"r": {instance: "a", sentAt: now.Add(-time.Second)}},
				instanceFaults: map[string]time.Time{"a": now.Add(c.restarted)},
			}
			b := &backend{cluster: k, id: "i-0", rejections: rejections{busyUntil: now.Add(time.Minute), retryAfter: time.Minute}}
			b.checkBackoff("r", "a")
			for _, p := range b.rejections.periods["a"] {
				p.start = p.start.Add(-backoffGracePeriod - time.Second)
				b.rejections.periods["a"][0] = p
			}
			k.instanceFaults["a"] = now.Add(-time.Hour)
			for range backoffSlack + 1 {
				b.checkBackoff("r", "a")
			}
			must.Eq(t, c.violated, len(k.violations) > 0)
		})
	}
}
