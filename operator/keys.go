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
	// recognise it.
	KeyPrefix = "fsk_"
	keyBytes  = 32
	// keyIDLength is in hex digits: 48 bits make a collision among
	// some ten thousand keys very unlikely.
	keyIDLength = 12
	// MaxLabel is the maximum length of a key's label in bytes.
	MaxLabel = 63
)

var (
	// ErrUnknownWorkspace reports a workspace that the lists don't have.
	ErrUnknownWorkspace = errors.New("operator: no such workspace")
	// ErrUnknownKey reports that no key matches.
	ErrUnknownKey = errors.New("operator: no such key")
	// ErrAmbiguousKey reports that more than one key matches.
	ErrAmbiguousKey = errors.New("operator: more than one key matches")
	// ErrLabel reports an invalid label.
	ErrLabel = errors.New("operator: label must be at most 63 printable ASCII characters")
)

// KeyInfo is the metadata of a key. The key itself isn't stored.
type KeyInfo struct {
	// ID is the start of the key's hash, in hex.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Label     string `json:"label,omitempty"`
	hash      string
	revision  storage.Revision
}

func (k KeyInfo) row() string { return config.APIKeyPrefix + k.hash }

// KeyID returns the id by which operators refer to a key.
func KeyID(key string) string { return config.HashKey(key).String()[:keyIDLength] }

// KeyChange is the result of issuing or revoking a key.
type KeyChange struct {
	Outcome  Outcome          `json:"outcome"`
	Info     KeyInfo          `json:"key"`
	Revision storage.Revision `json:"revision"`
	Attempt  string           `json:"attempt,omitempty"`
	// Secret is the key itself. It is set only in the result of IssueKey and
	// is excluded from JSON.
	Secret Secret `json:"-"`
}

// Secret is a key that is redacted when it is formatted or encoded.
type Secret struct{ key string }

// Reveal returns the key.
func (s Secret) Reveal() string { return s.key }

// String hides the key from logs and formats.
func (s Secret) String() string { return "(hidden)" }

// GoString hides the key from %#v.
func (s Secret) GoString() string { return "(hidden)" }

// maxIssueTries limits how often issuing a key is retried because the
// workspace's row changed concurrently.
const maxIssueTries = 5

// IssueKey issues a new key for a workspace. After Unresolved the key is valid
// only if Resolve finds the attempt.
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
	k := KeyChange{Outcome: Conflict, Info: info}
	for try := 0; k.Outcome == Conflict && try < maxIssueTries; try++ {
		if k, err = o.issue(ctx, info); err != nil {
			return KeyChange{}, err
		}
	}
	if k.Outcome != Conflict {
		k.Secret = secret
	}
	return k, nil
}

func (o *Operator) issue(ctx context.Context, info KeyInfo) (KeyChange, error) {
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
			// Rewriting the workspace's row makes a concurrent removal
			// of the workspace that misses this key conflict.
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
