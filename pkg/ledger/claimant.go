package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Peers calls other instances. Package peer implements the calls; package
// membership knows the successors.
type Peers interface {
	Claim(ctx context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
	Settle(ctx context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error)
	Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error)
	// Successor returns the peer address of the instance that holds the ledger
	// of an incarnation now, after all handovers, empty if none is known. A
	// wrong answer costs an unknown result, never a second run.
	Successor(address string, incarnation uint64) string
}

// State is the result of a claim.
type State uint8

// States of a claim.
const (
	StateUnknown     State = iota // settled as unknown, or the claimant never settled
	StateGranted                  // this claim holds the key
	StateInProgress               // another request holds the key and may still run
	StateRan                      // the request ran; Answer may hold its response
	StateNotRun                   // the request did not run and never will with this key
	StateNotIssued                // no instance issued this key
	StateReused                   // the key belongs to a request with another fingerprint
	StateExpired                  // the key is past its expiry
	StateUnreachable              // the owner did not reply in time
	StateOwnerGone                // the owner's incarnation ended without a known successor
	StateSealed                   // the owner is leaving and has not granted the key
	StateFull                     // the owner has no room for another claim and has not granted the key
)

type stateText struct {
	reason, key string
	run         peerpb.Run
}

// A refusal with an open key reports unknown and not not_run: the key may
// still be granted to a repetition of the request, also to one on its way at
// the same time. The same holds for a reused key, whose first request may have
// run.
var stateTexts = [...]stateText{
	StateUnknown:     {"result_unknown", "spent", peerpb.Run_RUN_UNKNOWN},
	StateGranted:     {"granted", "spent", peerpb.Run_RUN_UNKNOWN},
	StateInProgress:  {"in_progress", "spent", peerpb.Run_RUN_UNKNOWN},
	StateRan:         {"ran", "spent", peerpb.Run_RUN_RAN},
	StateNotRun:      {"not_run", "spent", peerpb.Run_RUN_NOT_RUN},
	StateNotIssued:   {"key_not_issued", "none", peerpb.Run_RUN_NOT_RUN},
	StateReused:      {"key_reused", "spent", peerpb.Run_RUN_UNKNOWN},
	StateExpired:     {"key_expired", "spent", peerpb.Run_RUN_UNKNOWN},
	StateUnreachable: {"owner_unreachable", "open", peerpb.Run_RUN_UNKNOWN},
	StateOwnerGone:   {"owner_gone", "spent", peerpb.Run_RUN_UNKNOWN},
	StateSealed:      {"owner_leaving", "open", peerpb.Run_RUN_UNKNOWN},
	StateFull:        {"ledger_full", "open", peerpb.Run_RUN_UNKNOWN},
}

// Reason is the fixed word for problem details and records.
func (s State) Reason() string { return stateTexts[s].reason }

// KeyState is open if a repetition with the same key may still run, spent if
// it never will, and none if there is no such key.
func (s State) KeyState() string { return stateTexts[s].key }

// Run is what is known of the key at the time of the claim. For a granted
// claim the outcome of the request replaces it.
func (s State) Run() peerpb.Run { return stateTexts[s].run }

// String implements fmt.Stringer.
func (s State) String() string { return stateTexts[s].reason }

// Fingerprint identifies a request for as long as its key is kept.
func Fingerprint(method, target, authorization string, body []byte) [32]byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{method, target, authorization} {
		// The length keeps neighbouring parts apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return [32]byte(h.Sum(nil))
}

// Claim is the result of Claimant.Claim.
type Claim struct {
	State     State
	Grant     uint64         // set if granted
	Answer    *peerpb.Answer // response of a request that ran, nil if none is kept
	RequestID string         // request that was granted the key, empty if not known

	grant *grant
}

// grant is the claimant's side of a granted key.
type grant struct {
	key     string
	parsed  issuedKey
	target  string // address of the instance that granted
	clock   clock.Clock
	before  clock.Reading // taken before the claim was sent
	limit   time.Duration
	replay  int
	settled atomic.Bool
}

// MayDispatch reports whether the request may be sent to a backend server now.
// It is false for a claim that was not granted, is past its grant deadline on
// any clock, or is settled. It is called right before every attempt.
func (c *Claim) MayDispatch() bool {
	g := c.grant
	return g != nil && !g.settled.Load() && clock.Elapsed(g.before, g.clock.Read()) < g.limit
}

// Claimant claims keys at their owners on behalf of requests.
type Claimant struct {
	owner    *Owner
	keyring  *Keyring
	peers    Peers
	clock    clock.Clock
	self     string
	recorder events.Recorder
}

// NewClaimant returns a claimant. owner is the ledger of this instance and
// self its peer address; keys of owner are claimed without a message.
func NewClaimant(owner *Owner, keyring *Keyring, peers Peers, c clock.Clock, self string) *Claimant {
	return &Claimant{owner: owner, keyring: keyring, peers: peers, clock: c, self: self, recorder: owner.options.Recorder}
}

// Claim claims the key for a request. Only a result in StateGranted permits a
// run, and only while MayDispatch is true; it must be settled.
func (c *Claimant) Claim(ctx context.Context, key string, fp [32]byte, requestID string, s dynamic.Keys) Claim {
	k, ok := c.keyring.verify(key)
	if !ok {
		return Claim{State: StateNotIssued}
	}
	ctx, cancel := context.WithTimeout(ctx, dynamic.MS(s.ClaimMS))
	defer cancel()
	g := &grant{
		key: key, parsed: k, clock: c.clock, before: c.clock.Read(),
		limit: dynamic.MS(s.GrantMS), replay: s.ReplayMaxBytes,
	}
	req := &peerpb.ClaimRequest{Key: key, Fingerprint: fp[:], RequestId: requestID, GrantMs: uint32(s.GrantMS)}
	resp, err := c.send(ctx, g, req)
	if err != nil {
		return Claim{State: StateUnreachable}
	}
	claim := Claim{State: claimStates[resp.GetState()], Answer: resp.GetAnswer(), RequestID: resp.GetRequestId()}
	if claim.State == StateGranted {
		claim.Grant, claim.grant = resp.GetGrant(), g
	}
	return claim
}

var claimStates = map[peerpb.ClaimState]State{
	peerpb.ClaimState_CLAIM_STATE_GRANTED:              StateGranted,
	peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS:          StateInProgress,
	peerpb.ClaimState_CLAIM_STATE_RAN:                  StateRan,
	peerpb.ClaimState_CLAIM_STATE_NOT_RUN:              StateNotRun,
	peerpb.ClaimState_CLAIM_STATE_EXPIRED:              StateExpired,
	peerpb.ClaimState_CLAIM_STATE_FINGERPRINT_MISMATCH: StateReused,
	peerpb.ClaimState_CLAIM_STATE_NOT_OWNER:            StateOwnerGone,
	peerpb.ClaimState_CLAIM_STATE_SEALED:               StateSealed,
	peerpb.ClaimState_CLAIM_STATE_LEDGER_FULL:          StateFull,
}

// maxHops bounds the instances that one claim is sent to: the owner, and two
// successors if a handover happens meanwhile.
const maxHops = 3

// send claims at the owner or, if that no longer grants, at its successor. The
// last reply or error decides.
func (c *Claimant) send(ctx context.Context, g *grant, req *peerpb.ClaimRequest) (resp *peerpb.ClaimResponse, err error) {
	target := c.self
	if !c.owner.holds(&g.parsed) {
		target = c.successor(g, g.parsed.owner.String())
	}
	for range maxHops {
		g.target = target
		if target == c.self {
			resp, err = c.owner.Claim(req), nil
		} else {
			resp, err = c.peers.Claim(ctx, target, req)
		}
		if err == nil && !movedOn(resp) {
			break
		}
		next := c.successor(g, target)
		if next == target {
			break
		}
		target = next
	}
	return resp, err
}

// successor returns the instance that took over the key's ledger, otherwise
// if none is known.
func (c *Claimant) successor(g *grant, otherwise string) string {
	if next := c.peers.Successor(g.parsed.owner.String(), g.parsed.incarnation); next != "" {
		return next
	}
	return otherwise
}

// movedOn reports whether a successor may know more.
func movedOn(resp *peerpb.ClaimResponse) bool {
	return resp.GetState() == peerpb.ClaimState_CLAIM_STATE_SEALED || resp.GetState() == peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
}

// holds reports whether this instance owns the key or has adopted it.
func (o *Owner) holds(k *issuedKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger(k) != nil
}

// settleAttempts bounds how often one settle is sent.
const settleAttempts = 3

// Settle reports the result of a granted claim to the owner and ends the
// grant. Only the first call for a claim has an effect. It reports whether the
// owner has confirmed the result; if not, the key resolves to unknown.
func (c *Claimant) Settle(ctx context.Context, claim *Claim, run peerpb.Run, answer *peerpb.Answer) bool {
	g := claim.grant
	if g == nil || g.settled.Swap(true) {
		return false
	}
	req := &peerpb.SettleRequest{Key: g.key, Grant: claim.Grant, Run: run, Answer: bounded(answer, g.replay)}
	target := g.target
	var last error
	for range settleAttempts {
		var resp *peerpb.SettleResponse
		if target == c.self {
			resp, last = c.owner.Settle(req), nil
		} else {
			resp, last = c.peers.Settle(ctx, target, req)
		}
		if resp.GetAccepted() {
			return true
		}
		next := c.successor(g, target)
		if ctx.Err() != nil || last == nil && next == target {
			break
		}
		target = next
	}
	c.recorder.Record(eventSettleLost, events.F("request_id", claim.RequestID), events.F("owner", g.parsed.owner.String()),
		events.F("run", run.String()), events.F("error", last))
	return false
}

// bounded returns the answer without its body if the body is longer than the
// bound.
func bounded(a *peerpb.Answer, maxBytes int) *peerpb.Answer {
	if a == nil || len(a.GetBody()) <= maxBytes {
		return a
	}
	return &peerpb.Answer{Status: a.GetStatus(), ContentType: a.GetContentType()}
}
