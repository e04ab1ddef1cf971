package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/platform"
)

// Errors of Store and PeerClient.
var (
	// ErrHistoryLost is returned if the changes since the requested revision are
	// no longer available, or the store was restored from an older copy since.
	ErrHistoryLost = errors.New("the changes since that revision are no longer available")
	// ErrNotReader is returned by a peer that is not in contact with the store.
	ErrNotReader = errors.New("the peer does not read the store")
)

// Position is a point in the history of the store. A store that is restored from an
// older copy begins a new era and gives out revisions again, so that revisions can be
// compared only within an era.
type Position struct {
	Era      uint64 // increases with each restoration; 0 if the store states none
	Revision uint64
}

// isBefore reports whether p comes before q.
func (p Position) isBefore(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// earliest returns the earlier one of two positions.
func earliest(p, q Position) Position {
	if p.isBefore(q) {
		return p
	}
	return q
}

// latest returns the later one of two positions.
func latest(p, q Position) Position {
	if p.isBefore(q) {
		return q
	}
	return p
}

// Change is the new state of one key.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64 // store-wide revision of the change, in the era in which it was read
	Deleted  bool
	// TreeVersion is the version of a settings tree whose value a relay has left
	// out; otherwise 0.
	TreeVersion uint64
}

// Page is a part of the keys of the store.
type Page struct {
	Changes []Change // in the order of keys
	At      Position // as of which the page was read
	HasMore bool     // whether further keys follow
}

// Store is a client of the platform's key-value store.
type Store interface {
	// Page returns the keys that follow a key, in their order; "" for the first ones. A
	// stale page is cheaper and may be seconds old, and of an earlier era.
	Page(ctx context.Context, after string, stale bool) (Page, error)
	// Changes waits up to wait for a change after a position. It returns the changes,
	// none at the end of the wait, and the position to continue from. The error is
	// ErrHistoryLost if a new snapshot is needed, also because the store was restored.
	Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error)
	// RegistrationChanges is like Changes, but returns only changes of registrations: its
	// reply is small whatever else has changed.
	RegistrationChanges(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error)
	// Evacuations returns the current keys of kind Evacuation that follow a key, in their
	// order; "" for the first ones. Its reply is small whatever else the store holds.
	Evacuations(ctx context.Context, after string) (Page, error)
	// Ping checks with the cheapest call whether the store is reachable, and returns
	// its era.
	Ping(ctx context.Context) (era uint64, err error)
	// Tree reads the current settings tree; version 0 means that there is none.
	Tree(ctx context.Context) (version uint64, text []byte, err error)
}

// HeldUpNotifier is a Store that tells when a reply in progress is held up by values that
// are neither a settings tree nor a registration. The settings tree is then read apart.
type HeldUpNotifier interface {
	// NotifyHeldUp sets the function to call, which returns at once.
	NotifyHeldUp(f func())
}

// PeerRequest is a request for changes to a peer.
type PeerRequest struct {
	After Position // the zero Position: all keys at once
	// UnknownTree is the lowest version of a settings tree that the sender does not
	// know. Trees are not part of the changes after a position: a large one is decoded
	// while other changes are served. 0: not stated, as by builds up to b3111bb, to which
	// the tree is a change like others.
	UnknownTree uint64
	// UnknownEvacuation is the lowest revision of an evacuation that the sender does not
	// know. The peer may have learned of some ahead of its log. 0: not stated, as by older
	// builds, which get the changes of the log only.
	UnknownEvacuation uint64
	Wait              time.Duration // for a change
}

// PeerReply is the reply to a PeerRequest.
type PeerReply struct {
	Changes []Change
	At      Position // the position to continue from
	// TreesAt is the position up to which the peer knows the settings trees. It is
	// before At while the peer decodes one.
	TreesAt Position
}

// PeerClient reads changes from a peer, like Store.Changes. The error is ErrNotReader or
// ErrHistoryLost if the peer reports it.
type PeerClient interface {
	Changes(ctx context.Context, address string, request PeerRequest) (PeerReply, error)
}

// Kind is the type of the value under a key of the store.
type Kind uint8

// Kinds of values. Values of kind Other are ignored.
const (
	Other Kind = iota
	Tree
	Registration
	// Evacuation is a key whose presence says that a failure domain gets no requests. Its
	// value has no meaning. In the order of keys, those of evacuations precede those of
	// registrations.
	Evacuation
)

// BackendRegistration is the content of a backend server's registration.
type BackendRegistration struct {
	Instance        platform.Instance
	WarmupRemaining time.Duration // remaining warm-up time as stated in the registration
}

// Translator decodes the keys and values of the platform's store.
type Translator interface {
	// Kind returns the kind of value that a key holds.
	Kind(key string) Kind
	// Tree converts a value of kind Tree to a settings tree.
	Tree(value []byte) (version uint64, text []byte, err error)
	// Registration decodes a value of kind Registration; false means that it does
	// not describe a backend server.
	Registration(key string, value []byte) (BackendRegistration, bool)
	// Evacuation returns the failure domain that a key of kind Evacuation names.
	Evacuation(key string) (failureDomain string)
}
