package operator

import (
	"context"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// KeySelector names one key: by its id (or more of its hash), by workspace
// and label, or by the key itself. Exactly one of these must be used.
type KeySelector struct {
	ID        string
	Workspace string
	Label     string
	Key       string
}

// minIDLength is the minimum number of hex digits that select a key.
const minIDLength = 6

// RevokeKey revokes a key. The key stops working once the change is in force
// everywhere. A concurrent revocation by another operator results in NothingToDo.
func (o *Operator) RevokeKey(ctx context.Context, s KeySelector) (KeyChange, error) {
	for {
		k, err := o.selectKey(ctx, s)
		if err != nil {
			return KeyChange{}, err
		}
		end, err := o.revoke(ctx, k)
		if err != nil || end.Outcome != Conflict {
			return end, err
		}
		// The row changed after it was read. The key must be deleted whatever
		// the change was, so select it again.
		if again, err := o.selectKey(ctx, s); errors.Is(err, ErrUnknownKey) {
			end.Outcome = NothingToDo
			end.Revision = o.newestRevision(ctx)
			return end, nil
		} else if err != nil {
			return KeyChange{}, err
		} else if again.hash != k.hash {
			return end, nil
		}
	}
}

func (o *Operator) revoke(ctx context.Context, k KeyInfo) (KeyChange, error) {
	lists, err := o.listsRow(ctx)
	if err != nil {
		return KeyChange{}, err
	}
	e := o.keyEntry(KeyRevoked, k, lists.Version)
	end := KeyChange{Info: k, Attempt: e.Attempt}
	end.Outcome, end.Revision, err = o.commit(ctx, change{
		entry:      e,
		conditions: []storage.Condition{{Table: storage.Control, Key: k.row(), Revision: k.revision}},
		puts:       []storage.Put{{Table: storage.Control, Key: k.row(), Delete: true}},
	})
	return end, err
}

func (o *Operator) selectKey(ctx context.Context, s KeySelector) (KeyInfo, error) {
	prefix, match, err := s.matcher()
	if err != nil {
		return KeyInfo{}, err
	}
	keys, err := o.keys(ctx, prefix, match)
	switch {
	case err != nil:
		return KeyInfo{}, err
	case len(keys) == 0:
		return KeyInfo{}, ErrUnknownKey
	case len(keys) > 1:
		return KeyInfo{}, errors.Wrapf(ErrAmbiguousKey, "%d keys", len(keys))
	default:
		return keys[0], nil
	}
}

func (s KeySelector) matcher() (prefix string, match func(KeyInfo) bool, err error) {
	anyKey := func(KeyInfo) bool { return true }
	switch {
	case s.Key != "":
		return config.HashKey(s.Key).String(), anyKey, nil
	case s.ID != "":
		id := strings.ToLower(s.ID)
		if len(id) < minIDLength || !isHex(id) {
			return "", nil, errors.Wrapf(ErrUnknownKey, "an id has at least %d hex digits", minIDLength)
		}
		return id, anyKey, nil
	case s.Label != "":
		return "", func(k KeyInfo) bool {
			return k.Label == s.Label && (s.Workspace == "" || k.Workspace == s.Workspace)
		}, nil
	default:
		return "", nil, errors.Wrap(ErrUnknownKey, "neither an id, a label nor a key was given")
	}
}

func isHex(s string) bool {
	if len(s)%2 == 1 {
		s += "0"
	}
	_, err := hex.DecodeString(s)
	return err == nil
}
