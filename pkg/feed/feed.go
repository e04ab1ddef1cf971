package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/platform"
)

// Errors of a Store.
var (
	// ErrHistoryLost says that the store no longer knows what has changed since
	// a revision.
	ErrHistoryLost = errors.New("the history since that revision is lost")
	// ErrNotReader says that a peer does not read the store itself now.
	ErrNotReader = errors.New("the peer does not read the store")
)

// Change is the newest state of one key.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64 // of the store, counts over all keys
	Deleted  bool
}

// Store is the platform's store.
type Store interface {
	// Snapshot returns all keys and a revision: what has changed since is not
	// or only in part contained. A stale snapshot may be seconds old.
	Snapshot(ctx context.Context, stale bool) ([]Change, uint64, error)
	// Changes waits until a key has changed after a revision, at most for wait,
	// and returns the changes and the revision to continue from. The error is
	// ErrHistoryLost where only a snapshot helps.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Reach makes the cheapest call that shows whether the store can be reached.
	Reach(ctx context.Context) error
	// Tree reads the settings tree now; version 0: there is none.
	Tree(ctx context.Context) (version uint64, text []byte, err error)
}

// Peers reads changes from a peer, as from a Store. After revision 0 it returns
// all keys. The error is ErrNotReader or ErrHistoryLost where the peer says so.
type Peers interface {
	Changes(ctx context.Context, address string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Kind is what a key of the store holds.
type Kind uint8

// Kinds.
const (
	Other Kind = iota
	Tree
	Registration
)

// Registered is one backend server as it states itself.
type Registered struct {
	Instance platform.Instance
	ColdFor  time.Duration // since the statement
}

// Translator reads the values of the platform.
type Translator interface {
	Kind(key string) Kind
	// Tree returns the settings tree that a value stands for.
	Tree(value []byte) (version uint64, text []byte, err error)
	// Registration returns the backend server that a value names; false: it
	// names none.
	Registration(key string, value []byte) (Registered, bool)
}
