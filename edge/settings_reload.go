package edge

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
)

// settingsPollInterval is how often the settings file is checked for changes, as
// the platform may change it without a signal.
const settingsPollInterval = time.Second

// watchSettings applies the settings that can change while the process runs: the
// store's address and the bounds.
func (e *Edge) watchSettings(ctx context.Context) error {
	current := e.settings
	var seen os.FileInfo
	for sleepContext(ctx, settingsPollInterval) {
		info, err := os.Stat(e.settingsFile)
		if err != nil || (seen != nil && info.ModTime().Equal(seen.ModTime()) && info.Size() == seen.Size()) {
			continue
		}
		seen = info
		s, err := settings.Load(e.settingsFile)
		if err != nil {
			event.SettingsRejected.Log(e.log, slog.Any("error", err))
			continue
		}
		if reflect.DeepEqual(s, current) {
			continue
		}
		current = s
		e.store.SetAddress(s.Store.Address)
		e.mu.Lock()
		e.state.bounds = s.Bounds.Freshness()
		e.mu.Unlock()
		event.SettingsReloaded.Log(e.log, slog.String("store", s.Store.Address))
	}
	return ctx.Err()
}
