package operator

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// Status is the fleet as the table and the entry instances show it.
type Status struct {
	ListsVersion uint64           `json:"listsVersion"`
	Revision     storage.Revision `json:"revision"`
	Workspaces   int              `json:"workspaces"`
	Plans        int              `json:"plans"`
	Services     int              `json:"services"`
	Keys         int              `json:"keys"`
	// Ejected are the backend servers out of use, by service.
	Ejected map[string][]config.Ejection `json:"ejected"`
	// TableError is the reason why the table couldn't be read; the fields
	// above are empty then.
	TableError string `json:"tableError,omitempty"`
	// Entries are empty if the instances couldn't be listed; EntriesError
	// is the reason.
	Entries      []EntryStatus `json:"entries"`
	EntriesError string        `json:"entriesError,omitempty"`
}

// EntryStatus is the status that an instance reports, or the error.
type EntryStatus struct {
	Instance storage.Instance `json:"instance"`
	Status   *oas.Status      `json:"status,omitempty"`
	Error    string           `json:"error,omitempty"`
}

// maxParallel limits concurrent requests to instances and the object store.
const maxParallel = 32

// Status reads the table and queries every instance. Without a fleet, or with
// the instances down, it returns the table's data only; with the platform
// unavailable, the instances' data only, if they can be listed. It fails if
// neither is available.
func (o *Operator) Status(ctx context.Context, f Fleet) (Status, error) {
	if f == nil {
		return o.tableStatus(ctx)
	}
	// Concurrent, because a table that doesn't answer uses up ctx's deadline.
	var entries []EntryStatus
	var entriesErr error
	var queries sync.WaitGroup
	queries.Go(func() { entries, entriesErr = queryStatus(ctx, f) })
	s, err := o.tableStatus(ctx)
	queries.Wait()
	s.Entries = entries
	if entriesErr != nil {
		s.EntriesError = entriesErr.Error()
		return s, err
	}
	if err != nil {
		s.TableError = err.Error()
	}
	return s, nil
}

func queryStatus(ctx context.Context, f Fleet) ([]EntryStatus, error) {
	entries, err := f.Entries(ctx)
	if err != nil {
		return nil, err
	}
	all := make([]EntryStatus, len(entries))
	inParallel(len(entries), func(i int) {
		all[i] = EntryStatus{Instance: entries[i]}
		status, err := f.Status(ctx, entries[i])
		all[i].Status = status
		if err != nil {
			all[i].Error = err.Error()
		}
	})
	return all, nil
}

func (o *Operator) tableStatus(ctx context.Context) (Status, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return Status{}, err
	}
	keys, err := o.ListKeys(ctx, "")
	if err != nil {
		return Status{}, err
	}
	s := Status{
		ListsVersion: current.Version,
		Workspaces:   len(current.Lists.Workspaces),
		Plans:        len(current.Lists.Plans),
		Services:     len(current.Lists.Services),
		Keys:         len(keys),
		Ejected:      map[string][]config.Ejection{},
	}
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: config.PermitPrefix})
	if err != nil {
		return Status{}, errors.Wrap(err, "read permits")
	}
	s.Revision = c.Revision
	for _, row := range c.Rows {
		var p config.Permits
		if !row.Deleted && json.Unmarshal(row.Value, &p) == nil && len(p.Ejected) > 0 {
			s.Ejected[row.Key[len(config.PermitPrefix):]] = p.Ejected
		}
	}
	return s, nil
}

// inParallel calls f for 0 to n-1 with at most maxParallel calls at a time.
func inParallel(n int, f func(int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	wg.Wait()
}
