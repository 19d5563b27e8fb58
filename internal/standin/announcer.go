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

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// announcer repeats a backend server's announcement to the platform.
type announcer struct {
	instances storage.Instances
	interval  time.Duration
	log       *slog.Logger
	cancel    context.CancelFunc
	done      chan struct{}

	// announceMu orders the announcements.
	announceMu sync.Mutex
	mu         sync.Mutex
	self       storage.Instance
}

func startAnnouncer(instances storage.Instances, self storage.Instance, interval time.Duration, log *slog.Logger) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		instances: instances,
		interval:  interval,
		log:       log,
		cancel:    cancel,
		done:      make(chan struct{}),
		self:      self,
	}
	go a.run(ctx)
	return a
}

func (a *announcer) current() storage.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// report announces a new state at once.
func (a *announcer) report(s storage.State) {
	a.mu.Lock()
	a.self.State = s
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
	err := a.instances.Announce(ctx, a.current())
	if errors.Is(err, client.ErrEnded) {
		a.renewID()
		err = a.instances.Announce(ctx, a.current())
	}
	if err != nil {
		a.log.Debug("announcement failed", "error", err)
	}
}

// renewID takes a new id. A server that was frozen for so long that the
// platform declared it ended may not come back under its old one.
func (a *announcer) renewID() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self.ID = uuid.NewString()
}
