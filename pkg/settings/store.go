package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// maxRememberedRefusals bounds the number of refused trees whose digests are
// stored.
const maxRememberedRefusals = 16

// maxReportedChanges bounds the number of differences that the event of one
// adoption lists.
const maxReportedChanges = 20

// slowAdoptionTime is the duration of an adoption from which on it is recorded as an
// event.
const slowAdoptionTime = 50 * time.Millisecond

// errVersionFound ends the search for the version of a tree.
var errVersionFound = errors.New("the version was found")

// Result is the outcome of an Offer.
type Result uint8

// Results of Offer.
const (
	ResultAdopted  Result = iota + 1 // the tree is now in force
	ResultOlder                      // the version is lower than the one in force
	ResultSame                       // the tree is already in force
	ResultConflict                   // the tree differs from the one in force with the same version
	ResultInvalid                    // the tree violates the schema or a rule
)

// String returns the lower-case name of the result, "none" for 0.
func (r Result) String() string {
	return [...]string{"none", "adopted", "older", "same", "conflict", "invalid"}[r]
}

// State is a snapshot of a Store.
type State struct {
	Tree         *dynamic.Tree // nil before the first adoption
	Source       string        // origin of the tree in force, as passed to Offer
	Since        time.Time     // wall time of its adoption
	Confirmed    bool
	Confirmation string // source of the confirmation, or the reason why the version is not confirmed
}

// Store holds the settings tree in force. It is safe for concurrent use.
type Store struct {
	recorder events.Recorder
	clock    clock.Clock
	tree     atomic.Pointer[dynamic.Tree]

	offerMu     sync.Mutex // serializes adoptions and the calls to subscribers
	subscribers []func(*dynamic.Tree)
	refusals    map[[sha256.Size]byte]Result // by digest, so that a repeated offer is reported once

	mu                 sync.Mutex
	source             string
	adoptedAt          time.Time
	confirmed          bool
	everConfirmed      bool
	confirmationDetail string
	epoch              uint64
}

// NewStore returns an empty store that is not confirmed.
func NewStore(recorder events.Recorder, c clock.Clock) *Store {
	return &Store{recorder: recorder, clock: c, confirmationDetail: "start"}
}

// Offer adopts the tree in text if it is valid and its version is higher than the
// one in force. source names the origin, for example "service" or
// "peer 10.0.0.1:7001".
func (s *Store) Offer(text []byte, source string) Result {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	digest := sha256.Sum256(text)
	current := s.tree.Load()
	if current != nil && digest == current.Digest {
		return ResultSame
	}
	if version, ok := parseVersion(text); ok && current != nil && version <= current.Version {
		return s.refuseVersion(current, version, digest, source)
	}
	if s.refusals[digest] == ResultInvalid {
		return ResultInvalid
	}
	start := time.Now()
	next, err := dynamic.ParseAfter(current, text)
	if err != nil {
		s.rememberRefusal(digest, ResultInvalid)
		s.recorder.Record(eventInvalid, events.F("source", source), events.F("error", err.Error()))
		return ResultInvalid
	}
	parsed := time.Now()
	s.adopt(current, next, source)
	s.recordSlowAdoption(next.Version, parsed.Sub(start), time.Since(parsed))
	return ResultAdopted
}

// parseVersion reads only the version, so that an older tree is refused without
// the cost of resolving it, and stops there. It reports whether text states a version
// above 0.
func parseVersion(text []byte) (version uint64, ok bool) {
	err := jx.DecodeBytes(text).ObjBytes(func(d *jx.Decoder, name []byte) (err error) {
		if string(name) != "version" {
			return d.Skip()
		}
		if version, err = d.UInt64(); err == nil {
			err = errVersionFound
		}
		return err
	})
	return version, errors.Is(err, errVersionFound) && version > 0
}

// refuseVersion records an older or conflicting tree, once per digest, and
// returns the result.
func (s *Store) refuseVersion(current *dynamic.Tree, version uint64, digest [sha256.Size]byte, source string) Result {
	result, event := ResultOlder, eventOlder
	if version == current.Version {
		result, event = ResultConflict, eventConflict
	}
	if s.refusals[digest] == result {
		return result
	}
	s.rememberRefusal(digest, result)
	s.recorder.Record(event, events.F("source", source), events.F("version", version),
		events.F("in_force", current.Version), events.F("digest", digestPrefix(digest[:])),
		events.F("digest_in_force", digestPrefix(current.Digest[:])))
	return result
}

// rememberRefusal stores the result of a refused tree. It discards all earlier
// results when the limit is reached.
func (s *Store) rememberRefusal(digest [sha256.Size]byte, r Result) {
	if s.refusals == nil || len(s.refusals) >= maxRememberedRefusals {
		s.refusals = map[[sha256.Size]byte]Result{}
	}
	s.refusals[digest] = r
}

// adopt puts next in force and calls the subscribers. The caller holds offerMu.
func (s *Store) adopt(current, next *dynamic.Tree, source string) {
	var previous uint64
	if current != nil {
		previous = current.Version
	}
	s.mu.Lock()
	s.source, s.adoptedAt = source, s.clock.Read().Wall
	s.tree.Store(next)
	s.mu.Unlock()
	differences := dynamic.Diff(current, next)
	s.recorder.Record(eventAdopted, events.F("source", source), events.F("version", next.Version),
		events.F("previous", previous), events.F("digest", digestPrefix(next.Digest[:])),
		events.F("differences", len(differences)),
		events.F("changed", dynamic.Summarize(differences, maxReportedChanges)))
	for _, f := range s.subscribers {
		f(next)
	}
}

// recordSlowAdoption records the times that it took to parse a tree and to put it in
// force if their sum is slowAdoptionTime or more.
func (s *Store) recordSlowAdoption(version uint64, parse, apply time.Duration) {
	if parse+apply < slowAdoptionTime {
		return
	}
	s.recorder.Record(eventSlowAdoption, events.F("version", version), events.F("parse_ms", parse.Milliseconds()), events.F("apply_ms", apply.Milliseconds()))
}

// Current returns the tree in force, nil before the first adoption.
func (s *Store) Current() *dynamic.Tree { return s.tree.Load() }

// Version returns the version in force, 0 before the first adoption.
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
	return State{Tree: s.tree.Load(), Source: s.source, Since: s.adoptedAt, Confirmed: s.confirmed, Confirmation: s.confirmationDetail}
}

// Confirmed reports whether the version in force is confirmed.
func (s *Store) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// EverConfirmed reports whether any version was confirmed since the process
// started.
func (s *Store) EverConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everConfirmed
}

// Unconfirm revokes the confirmation and starts a new epoch.
func (s *Store) Unconfirm(reason string) {
	s.mu.Lock()
	wasConfirmed := s.confirmed
	s.confirmed, s.confirmationDetail = false, reason
	s.epoch++
	s.mu.Unlock()
	if wasConfirmed {
		s.recorder.Record(eventUnconfirmed, events.F("reason", reason), events.F("version", s.Version()))
	}
}

// Epoch returns the number of the current epoch, which changes with each
// Unconfirm. Read it before sending a request for confirmation and pass it to
// ConfirmInEpoch with the reply.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Confirm confirms the version in force. It has no effect before the first
// adoption.
func (s *Store) Confirm(source string) { s.ConfirmInEpoch(s.Epoch(), source) }

// ConfirmInEpoch is Confirm for a request that was sent in the given epoch. It has
// no effect if that epoch has ended. It reports whether the version is now
// confirmed.
func (s *Store) ConfirmInEpoch(epoch uint64, source string) bool {
	s.mu.Lock()
	if s.confirmed || epoch != s.epoch || s.tree.Load() == nil {
		defer s.mu.Unlock()
		return s.confirmed
	}
	s.confirmed, s.everConfirmed, s.confirmationDetail = true, true, source
	s.mu.Unlock()
	s.recorder.Record(eventConfirmed, events.F("source", source), events.F("version", s.Version()))
	return true
}

// Subscribe calls f with the tree in force, if there is one, and then with each
// adopted tree in the order of versions. f must not call Offer or Subscribe.
func (s *Store) Subscribe(f func(*dynamic.Tree)) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if t := s.tree.Load(); t != nil {
		f(t)
	}
}

// CompareVersion compares the version and digest that a peer states with the tree
// in force. order is 1 if the peer has a higher version, 0 if it has the same
// tree, -1 if its version is lower. A different digest of the same version is
// recorded as a conflict and gives ok false.
func (s *Store) CompareVersion(version uint64, digest []byte, source string) (order int, ok bool) {
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
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	if current := s.tree.Load(); current.Version == version && len(digest) == sha256.Size {
		s.refuseVersion(current, version, [sha256.Size]byte(digest), source)
	}
	return 0, false
}

// digestPrefix returns the first 8 bytes of a digest in hexadecimal.
func digestPrefix(d []byte) string { return hex.EncodeToString(d[:min(8, len(d))]) }
