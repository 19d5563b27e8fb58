package operator

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

const (
	// KeyPrefix begins every key, so that people and secret scanners
	// recognise one.
	KeyPrefix = "fsk_"
	keyBytes = 32
	// keyIDLength is in hex digits: 48 bits, so that ids of some ten
	// thousand keys are almost certainly different.
	keyIDLength = 12
	// MaxLabel bounds a key's label, in bytes.
	MaxLabel = 63
)

var (
	// ErrUnknownWorkspace reports a workspace that the lists don't have.
	ErrUnknownWorkspace = errors.New("operator: no such workspace")
	// ErrUnknownKey reports that no key matches.
	ErrUnknownKey = errors.New("operator: no such key")
	// ErrAmbiguousKey reports that more than one key matches.
	ErrAmbiguousKey = errors.New("operator: more than one key matches")
	// ErrLabel reports a label that can't be kept.
	ErrLabel = errors.New("operator: label must be at most 63 printable ASCII characters")
)

// KeyInfo is what is known of a key. The key itself isn't kept anywhere.
type KeyInfo struct {
	// ID is the start of the key's hash, in hex.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Label     string `json:"label,omitempty"`
	hash      string
	revision  storage.Revision
}

func (k KeyInfo) row() string { return config.APIKeyPrefix + k.hash }

// KeyID returns the id under which operators know a key.
func KeyID(key string) string { return config.HashKey(key).String()[:keyIDLength] }

// KeyChange is the end of giving or withdrawing a key.
type KeyChange struct {
	Outcome  Outcome          `json:"outcome"`
	Info     KeyInfo          `json:"key"`
	Revision storage.Revision `json:"revision"`
	Attempt  string           `json:"attempt,omitempty"`
	// Secret is the key itself after giving it, and this once only. It is
	// left out of every encoding.
	Secret Secret `json:"-"`
}

// Secret is a key that prints as nothing by accident.
type Secret struct{ key string }

// Reveal returns the key.
func (s Secret) Reveal() string { return s.key }

// String hides the key from logs and formats.
func (s Secret) String() string { return "(hidden)" }

// GoString hides the key from %#v.
func (s Secret) GoString() string { return "(hidden)" }

// maxGiveTries bounds how often giving a key starts anew because the
// workspace's row changed meanwhile.
const maxGiveTries = 5

// IssueKey makes a key for a workspace. After Unresolved the key is worth
// keeping only if Resolve finds the attempt.
func (o *Operator) IssueKey(ctx context.Context, workspace, label string) (KeyChange, error) {
	if !validLabel(label) {
		return KeyChange{}, ErrLabel
	}
	secret, err := newKey(o.settings.Random)
	if err != nil {
		return KeyChange{}, err
	}
	hash := config.HashKey(secret.key).String()
	info := KeyInfo{ID: hash[:keyIDLength], Workspace: workspace, Label: label, hash: hash}
	k := KeyChange{Outcome: Raced, Info: info}
	for try := 0; k.Outcome == Raced && try < maxGiveTries; try++ {
		if k, err = o.give(ctx, info); err != nil {
			return KeyChange{}, err
		}
	}
	if k.Outcome != Raced {
		k.Secret = secret
	}
	return k, nil
}

func (o *Operator) give(ctx context.Context, info KeyInfo) (KeyChange, error) {
	row, version, err := o.workspaceRow(ctx, info.Workspace)
	if err != nil {
		return KeyChange{}, err
	}
	value, err := json.Marshal(config.APIKey{Workspace: info.Workspace, Label: info.Label})
	if err != nil {
		return KeyChange{}, errors.Wrap(err, "encode key row")
	}
	e := o.keyEntry(KeyIssued, info, version)
	k := KeyChange{Info: info, Attempt: e.Attempt}
	k.Outcome, k.Revision, err = o.commit(ctx, change{
		entry: e,
		conditions: []storage.Condition{
			{Table: storage.Control, Key: row.Key, Revision: row.Revision},
			{Table: storage.Control, Key: info.row()},
		},
		puts: []storage.Put{
			// Rewriting the workspace's row makes a removal of the
			// workspace that doesn't know this key lose the race.
			{Table: storage.Control, Key: row.Key, Value: row.Value},
			{Table: storage.Control, Key: info.row(), Value: value},
		},
	})
	return k, err
}

func (o *Operator) keyEntry(a Action, k KeyInfo, version uint64) AuditEntry {
	e := o.entry(a)
	e.From, e.To = version, version
	e.Workspace, e.Key, e.Label = k.Workspace, k.ID, k.Label
	return e
}

func (o *Operator) workspaceRow(ctx context.Context, name string) (storage.Row, uint64, error) {
	s, err := o.listsRow(ctx)
	if err != nil {
		return storage.Row{}, 0, err
	}
	key := config.WorkspacePrefix + name
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: key})
	if err != nil {
		return storage.Row{}, 0, errors.Wrap(err, "read workspace")
	}
	for _, row := range c.Rows {
		if row.Key == key && !row.Deleted {
			return row, s.Version, nil
		}
	}
	return storage.Row{}, 0, errors.Wrapf(ErrUnknownWorkspace, "%q", name)
}

func newKey(random io.Reader) (Secret, error) {
	var b [keyBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return Secret{}, errors.Wrap(err, "read random bytes")
	}
	return Secret{key: KeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])}, nil
}

func validLabel(label string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r > '~' }
	return len(label) <= MaxLabel && !strings.ContainsFunc(label, unprintable)
}

// ListKeys returns the keys of a workspace, or of all if it is empty, ordered
// by workspace, label and id.
func (o *Operator) ListKeys(ctx context.Context, workspace string) ([]KeyInfo, error) {
	return o.keys(ctx, "", func(k KeyInfo) bool { return workspace == "" || k.Workspace == workspace })
}

func (o *Operator) keys(ctx context.Context, hashPrefix string, match func(KeyInfo) bool) ([]KeyInfo, error) {
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: config.APIKeyPrefix + hashPrefix})
	if err != nil {
		return nil, errors.Wrap(err, "read keys")
	}
	var keys []KeyInfo
	for _, row := range c.Rows {
		hash := strings.TrimPrefix(row.Key, config.APIKeyPrefix)
		var v config.APIKey
		if row.Deleted || len(hash) < keyIDLength || json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		k := KeyInfo{ID: hash[:keyIDLength], Workspace: v.Workspace, Label: v.Label, hash: hash, revision: row.Revision}
		if match(k) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b KeyInfo) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Label, b.Label), cmp.Compare(a.hash, b.hash))
	})
	return keys, nil
}
