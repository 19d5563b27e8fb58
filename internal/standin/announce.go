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

// reportTimeout bounds one announcement.
const reportTimeout = 2 * time.Second

// announcer repeats a backend server's announcement to the platform.
type announcer struct {
	list   storage.Instances
	every  time.Duration
	log    *slog.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// sending orders the announcements.
	sending sync.Mutex
	mu      sync.Mutex
	self    storage.Instance
}

func startAnnouncer(list storage.Instances, self storage.Instance, every time.Duration, log *slog.Logger) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		list:   list,
		every:  every,
		log:    log,
		cancel: cancel,
		done:   make(chan struct{}),
		self:   self,
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
	ticker := time.NewTicker(a.every)
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
	a.sending.Lock()
	defer a.sending.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := a.list.Announce(ctx, a.current())
	if errors.Is(err, client.ErrEnded) {
		a.restart()
		err = a.list.Announce(ctx, a.current())
	}
	if err != nil {
		a.log.Debug("announcement failed", "error", err)
	}
}

// restart takes a new id. A server that was frozen for so long that the
// platform declared it ended may not come back under its old one.
func (a *announcer) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self.ID = uuid.NewString()
}
