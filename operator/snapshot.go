package operator

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/storage"
)

// listsPrefix selects the row under config.ListsKey; no other row of the
// control table starts with it.
const listsPrefix = config.ListsKey

// maxSnapshotTries limits how often a read is restarted because other
// operators changed the lists.
const maxSnapshotTries = 5

// ErrBusy reports that other operators changed the lists during every attempt
// to read them.
var ErrBusy = errors.New("operator: the lists keep changing")

// Snapshot is the accepted pair of lists.
type Snapshot struct {
	Lists lists.Lists
	// Version and Digest are those of the lists row, or zero values if no
	// lists have been applied.
	Version uint64
	Digest  string
	// Revision of the lists row; 0 if it is absent.
	Revision storage.Revision
	// attempt that wrote the lists row.
	attempt string
	// rows maps the keys of the lists' rows to their revisions.
	rows map[string]storage.Revision
}

// Current reads the accepted lists. The rows are read prefix by prefix, and
// the lists row before and after: as every change of the lists rewrites it,
// an unchanged row proves that the reads are consistent.
func (o *Operator) Current(ctx context.Context) (Snapshot, error) {
	for range maxSnapshotTries {
		s, err := o.listsRow(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		if err := o.readRows(ctx, &s); err != nil {
			return Snapshot{}, err
		}
		after, err := o.listsRow(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		if after.Revision == s.Revision {
			return s, nil
		}
	}
	return Snapshot{}, ErrBusy
}

func (o *Operator) listsRow(ctx context.Context) (Snapshot, error) {
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: listsPrefix})
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "read lists")
	}
	for _, row := range c.Rows {
		if row.Key != config.ListsKey || row.Deleted {
			continue
		}
		var l config.ListsVersion
		if err := json.Unmarshal(row.Value, &l); err != nil {
			return Snapshot{}, errors.Wrap(err, "decode lists row")
		}
		return Snapshot{Version: l.Version, Digest: l.Digest, Revision: row.Revision, attempt: row.Attempt}, nil
	}
	return Snapshot{}, nil
}

func (o *Operator) readRows(ctx context.Context, s *Snapshot) error {
	var rows []storage.Row
	for _, prefix := range []string{config.WorkspacePrefix, config.PlanPrefix, config.ServicePrefix} {
		c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: prefix})
		if err != nil {
			return errors.Wrapf(err, "read %s", prefix)
		}
		rows = append(rows, c.Rows...)
	}
	s.rows = make(map[string]storage.Revision, len(rows))
	for _, row := range rows {
		if !row.Deleted {
			s.rows[row.Key] = row.Revision
		}
	}
	var err error
	s.Lists, err = lists.FromRows(rows)
	return err
}
