package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/platform"
	"foxtailspoke/quarantine"
	"foxtailspoke/replica"
)

const (
	// suspectKeyPrefix begins the keys of requests under which servers ended, in the table of
	// instances: all instances read it when they start.
	suspectKeyPrefix = "request/"
	// suspectWriteInterval is the minimum time between two writes of suspects.
	suspectWriteInterval = 100 * time.Millisecond
	// maxSuspectRows bounds the rows of suspects in the store.
	maxSuspectRows = 500
	// suspectRowRetention is the time after the last end of a server for which the row of a
	// request is kept. It is longer than any request is withheld.
	suspectRowRetention = time.Hour
)

// suspectDocument is the value of a suspect's row. It outlives a restart of all instances.
// Times are in seconds on the store's clock.
type suspectDocument struct {
	// ServedS is when a server last responded to the request, 0 if none did.
	ServedS float64       `json:"servedS,omitempty"`
	Ends    []endDocument `json:"ends"`
}

type endDocument struct {
	Run quarantine.ServerRun `json:"run"`
	AtS float64              `json:"atS"`
}

func suspectKey(f quarantine.Fingerprint) string { return suspectKeyPrefix + f.String() }

// storeSuspect has a suspect written to the store. Those that this instance doesn't withhold
// needn't be: an end that a restart of all instances forgets is made up for by the lower limit
// afterwards. The lock must be held.
func (e *Edge) storeSuspect(f quarantine.Fingerprint) {
	e.state.unstoredSuspects[f] = struct{}{}
	wake(e.storeSuspectsNow)
}

// storeSuspects writes the suspects that this instance has observed to the store until ctx
// ends. One that can't be written is left to the reports between instances.
func (e *Edge) storeSuspects(ctx context.Context) error {
	for {
		select {
		case <-e.storeSuspectsNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		e.mu.Lock()
		rows := e.takeSuspectRows(e.now())
		e.mu.Unlock()
		if len(rows) == 0 {
			continue
		}
		if err := e.store.Write(ctx, platform.TableInstances, rows...); err != nil {
			event.StoreCallFailed.Log(e.log, slog.String("table", platform.TableInstances), slog.Any("error", err))
		} else {
			e.mu.Lock()
			e.recordWrittenRows(rows)
			e.mu.Unlock()
		}
		if !sleepContext(ctx, suspectWriteInterval) {
			return ctx.Err()
		}
	}
}

// takeSuspectRows returns the rows to write for the suspects that changed. Without a reading
// of the store's clock there are none.
func (e *Edge) takeSuspectRows(now time.Duration) (rows []replica.Row) {
	defer clear(e.state.unstoredSuspects)
	clock, known := e.state.clock.Now(now)
	if !known {
		return nil
	}
	room := min(maxSuspectRows-len(e.suspectRows()), maxRowsPerWrite)
	for f := range e.state.unstoredSuspects {
		if _, stored := e.state.instances.Row(suspectKey(f)); !stored && len(rows) >= room {
			continue
		}
		value, err := encodeSuspect(e.state.quarantine.Report(f, now), clock)
		if err != nil {
			event.StoreCallFailed.Log(e.log, slog.Any("error", err))
			continue
		}
		rows = append(rows, replica.Row{Key: suspectKey(f), Value: value})
	}
	return rows[:min(len(rows), maxRowsPerWrite)]
}

func encodeSuspect(r quarantine.Report, clock time.Duration) ([]byte, error) {
	var d suspectDocument
	if r.Served {
		d.ServedS = (clock - r.ServedAge).Seconds()
	}
	for _, end := range r.Ends {
		d.Ends = append(d.Ends, endDocument{end.Run, (clock - end.Age).Seconds()})
	}
	return json.Marshal(d)
}

// suspectRows returns the rows of suspects in the copy of the table of instances.
func (e *Edge) suspectRows() (rows []replica.Row) {
	for _, r := range e.state.instances.Rows() {
		if strings.HasPrefix(r.Key, suspectKeyPrefix) {
			rows = append(rows, r)
		}
	}
	return rows
}

// applySuspectRow applies a row of a suspect, and reports whether the row is one.
func (e *Edge) applySuspectRow(r replica.Row, now time.Duration) bool {
	digits, ok := strings.CutPrefix(r.Key, suspectKeyPrefix)
	if !ok {
		return false
	}
	clock, known := e.state.clock.Now(now)
	if r.Gone || !known {
		return true
	}
	f, err := strconv.ParseUint(digits, 16, 64)
	var d suspectDocument
	if err == nil {
		err = json.Unmarshal(r.Value, &d)
	}
	if err != nil {
		event.EntryIgnored.Log(e.log, slog.String("request", r.Key), slog.Any("error", err))
		return true
	}
	report := quarantine.Report{Request: quarantine.Fingerprint(f), Served: d.ServedS > 0, ServedAge: ageAt(d.ServedS, clock)}
	for _, end := range d.Ends {
		report.Ends = append(report.Ends, quarantine.End{Run: end.Run, Age: ageAt(end.AtS, clock)})
	}
	e.state.quarantine.Apply([]quarantine.Report{report}, now)
	return true
}

// ageAt returns the time since a reading of the store's clock in seconds.
func ageAt(seconds float64, clock time.Duration) time.Duration {
	return max(clock-time.Duration(seconds*float64(time.Second)), 0)
}

// oldSuspectRows returns the removal of the rows that no longer matter.
func (e *Edge) oldSuspectRows(now time.Duration) (rows []replica.Row) {
	clock, known := e.state.clock.Now(now)
	if !known {
		return nil
	}
	for _, r := range e.suspectRows() {
		var d suspectDocument
		// A row that can't be decoded is of no use either.
		last := 0.0
		if json.Unmarshal(r.Value, &d) == nil {
			last = d.ServedS
			for _, end := range d.Ends {
				last = max(last, end.AtS)
			}
		}
		if ageAt(last, clock) > suspectRowRetention && len(rows) < maxRowsPerWrite {
			rows = append(rows, replica.Row{Key: r.Key, Gone: true})
		}
	}
	return rows
}
