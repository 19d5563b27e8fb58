package standin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

// announceTimeout is the timeout of one announcement, including the retry under
// a new ID.
const announceTimeout = 2 * time.Second

// announcer periodically announces a backend server to the platform.
type announcer struct {
	instances storage.Instances
	interval  time.Duration
	log       *slog.Logger
	cancel    context.CancelFunc
	done      chan struct{}

	// announceMu serializes announcements, so that an older state can't
	// overwrite a newer one on the platform.
	announceMu sync.Mutex
	mu         sync.Mutex
	instance   storage.Instance
}

func startAnnouncer(instances storage.Instances, instance storage.Instance, interval time.Duration, log *slog.Logger) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		instances: instances,
		interval:  interval,
		log:       log,
		cancel:    cancel,
		done:      make(chan struct{}),
		instance:  instance,
	}
	go a.run(ctx)
	return a
}

func (a *announcer) currentInstance() storage.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instance
}

// announceState sets the state and announces it immediately, without waiting for
// the next interval.
func (a *announcer) announceState(s storage.State) {
	a.mu.Lock()
	a.instance.State = s
	a.mu.Unlock()
	a.announce(context.Background())
}

func (a *announcer) stop() {
	a.cancel()
	<-a.done
}

func (a *announcer) run(ctx context.Context) {
	defer close(a.done)
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *announcer) announce(ctx context.Context) {
	a.announceMu.Lock()
	defer a.announceMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := a.instances.Announce(ctx, a.currentInstance())
	if errors.Is(err, client.ErrEnded) {
		a.renewID()
		err = a.instances.Announce(ctx, a.currentInstance())
	}
	if err != nil {
		a.log.Debug("announcement failed", "error", err)
	}
}

// renewID assigns a new instance ID. The platform rejects announcements under an
// ID that it has declared ended, as happens to a server that was suspended for
// longer than the platform's instance timeout.
func (a *announcer) renewID() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instance.ID = uuid.NewString()
}
