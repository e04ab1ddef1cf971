package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// maxRefused bounds the digests of refused trees that are remembered.
const maxRefused = 16

// maxReportedChanges bounds the lines of one adoption in the audit trail.
const maxReportedChanges = 20

// Result is what became of an offered tree.
type Result uint8

// Results of Offer.
const (
	Adopted  Result = iota + 1 // it is in force now
	Older                      // its version is lower than the one in force
	Same                       // it is the tree in force
	Conflict                   // the version in force has another content
	Invalid                    // it breaks a rule
)

// String returns a fixed word.
func (r Result) String() string {
	return [...]string{"none", "adopted", "older", "same", "conflict", "invalid"}[r]
}

// State is the state of a Store at one moment.
type State struct {
	Tree      *dynamic.Tree // nil before the first
	Source    string        // where the tree in force came from
	Since     time.Time     // wall time of its adoption
	Confirmed bool
	By        string // who confirmed it, or why it is not confirmed
}

// Store holds the tree in force. It is safe for concurrent use.
type Store struct {
	rec   events.Recorder
	clock clock.Clock
	tree  atomic.Pointer[dynamic.Tree]

	offer       sync.Mutex // serializes adoptions and the calls to subscribers
	subscribers []func(*dynamic.Tree)
	refused     map[[sha256.Size]byte]Result // so that a repeated offer is reported once

	mu        sync.Mutex
	source    string
	since     time.Time
	confirmed bool
	ever      bool
	by        string
	epoch     uint64
}

// NewStore returns an empty store that is not confirmed.
func NewStore(rec events.Recorder, c clock.Clock) *Store {
	return &Store{rec: rec, clock: c, by: "start"}
}

// Offer adopts text if its version is higher than the one in force. Source
// names where it came from, for example "service" or "peer 10.0.0.1:7001".
func (s *Store) Offer(text []byte, source string) Result {
	s.offer.Lock()
	defer s.offer.Unlock()
	digest := sha256.Sum256(text)
	current := s.tree.Load()
	if current != nil && digest == current.Digest {
		return Same
	}
	if version, ok := statedVersion(text); ok && current != nil && version <= current.Version {
		return s.refuseVersion(current, version, digest, source)
	}
	if s.refused[digest] == Invalid {
		return Invalid
	}
	next, err := dynamic.ParseAfter(current, text)
	if err != nil {
		s.remember(digest, Invalid)
		s.rec.Record(eventInvalid, events.F("source", source), events.F("error", err.Error()))
		return Invalid
	}
	s.adopt(current, next, source)
	return Adopted
}

// statedVersion reads the version alone, so that an older tree is refused
// without the cost of resolving it.
func statedVersion(text []byte) (uint64, bool) {
	var doc struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(text, &doc)
	return doc.Version, err == nil && doc.Version > 0
}

func (s *Store) refuseVersion(current *dynamic.Tree, version uint64, digest [sha256.Size]byte, source string) Result {
	result, event := Older, eventOlder
	if version == current.Version {
		result, event = Conflict, eventConflict
	}
	if s.refused[digest] == result {
		return result
	}
	s.remember(digest, result)
	s.rec.Record(event, events.F("source", source), events.F("version", version),
		events.F("in_force", current.Version), events.F("digest", shortDigest(digest[:])),
		events.F("digest_in_force", shortDigest(current.Digest[:])))
	return result
}

func (s *Store) remember(digest [sha256.Size]byte, r Result) {
	if s.refused == nil || len(s.refused) >= maxRefused {
		s.refused = map[[sha256.Size]byte]Result{}
	}
	s.refused[digest] = r
}

func (s *Store) adopt(current, next *dynamic.Tree, source string) {
	var previous uint64
	if current != nil {
		previous = current.Version
	}
	s.mu.Lock()
	s.source, s.since = source, s.clock.Read().Wall
	s.tree.Store(next)
	s.mu.Unlock()
	differences := dynamic.Diff(current, next)
	s.rec.Record(eventAdopted, events.F("source", source), events.F("version", next.Version),
		events.F("previous", previous), events.F("digest", shortDigest(next.Digest[:])),
		events.F("differences", len(differences)),
		events.F("changed", dynamic.Summarize(differences, maxReportedChanges)))
	for _, f := range s.subscribers {
		f(next)
	}
}

// Current returns the tree in force, nil before the first.
func (s *Store) Current() *dynamic.Tree { return s.tree.Load() }

// Version returns the version in force, 0 before the first.
func (s *Store) Version() uint64 {
	if t := s.tree.Load(); t != nil {
		return t.Version
	}
	return 0
}

// State returns the tree in force with its source and confirmation.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Tree: s.tree.Load(), Source: s.source, Since: s.since, Confirmed: s.confirmed, By: s.by}
}

// Confirmed reports whether the version in force is confirmed.
func (s *Store) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// EverConfirmed reports whether this process was confirmed at least once.
func (s *Store) EverConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ever
}

// Unconfirm drops the confirmation and starts a new epoch.
func (s *Store) Unconfirm(reason string) {
	s.mu.Lock()
	had := s.confirmed
	s.confirmed, s.by = false, reason
	s.epoch++
	s.mu.Unlock()
	if had {
		s.rec.Record(eventUnconfirmed, events.F("reason", reason), events.F("version", s.Version()))
	}
}

// Epoch identifies the time since the last Unconfirm. Read it before asking
// and pass it to ConfirmIn with the reply.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Confirm confirms the version in force. It has no effect before the first
// tree.
func (s *Store) Confirm(source string) { s.ConfirmIn(s.Epoch(), source) }

// ConfirmIn is Confirm for a question that was asked in the given epoch. It
// has no effect if the epoch has passed. It reports whether the version is
// confirmed now.
func (s *Store) ConfirmIn(epoch uint64, source string) bool {
	s.mu.Lock()
	if s.confirmed || epoch != s.epoch || s.tree.Load() == nil {
		defer s.mu.Unlock()
		return s.confirmed
	}
	s.confirmed, s.ever, s.by = true, true, source
	s.mu.Unlock()
	s.rec.Record(eventConfirmed, events.F("source", source), events.F("version", s.Version()))
	return true
}

// Subscribe calls f with the tree in force, if there is one, and then with
// each adopted tree in the order of versions. f must not call Offer.
func (s *Store) Subscribe(f func(*dynamic.Tree)) {
	s.offer.Lock()
	defer s.offer.Unlock()
	s.subscribers = append(s.subscribers, f)
	if t := s.tree.Load(); t != nil {
		f(t)
	}
}

// Matches compares a peer's statement with the tree in force: 1 if the peer
// has a higher version, 0 if it has the same tree, -1 if its version is lower.
// A conflict is reported and yields ok false.
func (s *Store) Matches(version uint64, digest []byte, source string) (order int, ok bool) {
	t := s.tree.Load()
	switch {
	case t == nil && version == 0:
		return 0, true
	case t == nil || version > t.Version:
		return 1, true
	case version < t.Version:
		return -1, true
	case bytes.Equal(digest, t.Digest[:]):
		return 0, true
	}
	s.offer.Lock()
	defer s.offer.Unlock()
	if current := s.tree.Load(); current.Version == version && len(digest) == sha256.Size {
		s.refuseVersion(current, version, [sha256.Size]byte(digest), source)
	}
	return 0, false
}

func shortDigest(d []byte) string { return hex.EncodeToString(d[:min(8, len(d))]) }
