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

// PeerClient sends the requests of the ledger protocol to other instances. Package
// peer implements the calls; package membership tracks the successors.
type PeerClient interface {
	Claim(ctx context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
	Settle(ctx context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error)
	Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error)
	// Successor returns the peer address of the instance that currently holds
	// the ledger of an incarnation, after all handovers. It returns an empty
	// string if no successor is known. A wrong address leads to an unknown
	// result, never to a second run of a request.
	Successor(address string, incarnation uint64) string
}

// State is the result of a claim.
type State uint8

// States of a claim.
const (
	StateUnknown     State = iota // the grant was settled as unknown, or ended without a settle
	StateGranted                  // the key was granted to this claim
	StateInProgress               // the key was granted to another claim, whose request may still run
	StateRan                      // the request ran; Claim.Answer holds its response if one was kept
	StateNotRun                   // the request did not run, and will never run with this key
	StateNotIssued                // no instance issued this key
	StateReused                   // the key belongs to a request with another fingerprint
	StateExpired                  // the key has expired
	StateUnreachable              // the owner did not reply in time
	StateOwnerGone                // the owner's incarnation ended without a known successor
	StateSealed                   // the owner is shutting down and has not granted the key
	StateFull                     // the ledger has reached its maximum number of claims; the key was not granted
)

// stateReport is what a claimant reports for a State.
type stateReport struct {
	reason, keyState string
	run              peerpb.Run
}

// stateReports is indexed by State. A refusal that leaves the key open reports
// unknown instead of not_run, because the key may still be granted to a retry
// of the request, including a concurrent one. A reused key also reports
// unknown, because the first request with the key may have run.
var stateReports = [...]stateReport{
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

// Reason returns the fixed identifier of the state for problem details and
// audit records.
func (s State) Reason() string { return stateReports[s].reason }

// KeyState returns "open" if a retry with the same key may still run, "spent"
// if no retry will ever run, and "none" if the key was never issued.
func (s State) KeyState() string { return stateReports[s].keyState }

// Run returns what is known at the time of the claim about whether the request
// ran. For a granted claim the outcome of the request replaces it.
func (s State) Run() peerpb.Run { return stateReports[s].run }

// String implements fmt.Stringer.
func (s State) String() string { return stateReports[s].reason }

// Fingerprint returns a SHA-256 digest of a request, which is stored until its
// key expires. A key that is reused with a different fingerprint is refused.
func Fingerprint(method, target, authorization string, body []byte) [32]byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{method, target, authorization} {
		// The length prefix keeps different splits of the same bytes distinct.
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
	Grant     uint64         // number of the grant, set in StateGranted only
	Answer    *peerpb.Answer // response of a request that ran, nil if none was kept
	RequestID string         // ID of the request that was granted the key, empty if unknown

	grantState *grantState
}

// grantState is what a claimant keeps for a granted key.
type grantState struct {
	key            string
	parsedKey      issuedKey
	target         string // peer address of the instance that granted the key
	clock          clock.Clock
	claimStart     clock.Reading // read before the claim was sent
	validity       time.Duration // duration of the grant, counted from claimStart
	maxReplayBytes int
	settled        atomic.Bool
}

// MayDispatch reports whether the request may be sent to a backend server now.
// It returns false for a claim that was not granted, has passed its grant
// deadline on any of the clocks, or is settled. Callers must check it
// immediately before every attempt.
func (c *Claim) MayDispatch() bool {
	g := c.grantState
	return g != nil && !g.settled.Load() && clock.Elapsed(g.claimStart, g.clock.Read()) < g.validity
}

// Claimant claims keys from their owners on behalf of requests.
type Claimant struct {
	owner       *Owner
	keyring     *Keyring
	peers       PeerClient
	clock       clock.Clock
	selfAddress string
	recorder    events.Recorder
}

// NewClaimant returns a claimant. owner is the ledger of this instance and
// selfAddress is the peer address of this instance. Keys that owner holds are
// claimed by a direct call, without a message.
func NewClaimant(owner *Owner, keyring *Keyring, peers PeerClient, c clock.Clock, selfAddress string) *Claimant {
	return &Claimant{owner: owner, keyring: keyring, peers: peers, clock: c, selfAddress: selfAddress, recorder: owner.options.Recorder}
}

// Claim claims the key for a request. Only a claim in StateGranted permits the
// request to run, and only while MayDispatch returns true. The caller must
// settle a granted claim. Claim waits for at most settings.ClaimMS.
func (c *Claimant) Claim(ctx context.Context, key string, fp [32]byte, requestID string, settings dynamic.Keys) Claim {
	k, ok := c.keyring.verify(key)
	if !ok {
		return Claim{State: StateNotIssued}
	}
	ctx, cancel := context.WithTimeout(ctx, dynamic.MillisToDuration(settings.ClaimMS))
	defer cancel()
	g := &grantState{
		key: key, parsedKey: k, clock: c.clock, claimStart: c.clock.Read(),
		validity: dynamic.MillisToDuration(settings.GrantMS), maxReplayBytes: settings.ReplayMaxBytes,
	}
	req := &peerpb.ClaimRequest{Key: key, Fingerprint: fp[:], RequestId: requestID, GrantMs: uint32(settings.GrantMS)}
	resp, err := c.sendClaim(ctx, g, req)
	if err != nil {
		return Claim{State: StateUnreachable}
	}
	claim := Claim{State: stateByClaimState[resp.GetState()], Answer: resp.GetAnswer(), RequestID: resp.GetRequestId()}
	if claim.State == StateGranted {
		claim.Grant, claim.grantState = resp.GetGrant(), g
	}
	return claim
}

// stateByClaimState maps the wire form of a claim state to its State. States
// that are not listed map to StateUnknown.
var stateByClaimState = map[peerpb.ClaimState]State{
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

// maxClaimTargets limits the number of instances that one claim is sent to: the
// owner, and two successors if handovers happen while the claim is in progress.
const maxClaimTargets = 3

// sendClaim sends the claim to the owner of the key or, if the owner no longer
// grants keys, to its successor. It returns the last reply or error.
func (c *Claimant) sendClaim(ctx context.Context, g *grantState, req *peerpb.ClaimRequest) (resp *peerpb.ClaimResponse, err error) {
	target := c.selfAddress
	if !c.owner.hasLedger(&g.parsedKey) {
		target = c.successor(g, g.parsedKey.owner.String())
	}
	for range maxClaimTargets {
		g.target = target
		if target == c.selfAddress {
			resp, err = c.owner.Claim(req), nil
		} else {
			resp, err = c.peers.Claim(ctx, target, req)
		}
		if err == nil && !shouldTrySuccessor(resp) {
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

// successor returns the peer address of the instance that took over the ledger
// of the key, or fallback if no successor is known.
func (c *Claimant) successor(g *grantState, fallback string) string {
	if next := c.peers.Successor(g.parsedKey.owner.String(), g.parsedKey.incarnation); next != "" {
		return next
	}
	return fallback
}

// shouldTrySuccessor reports whether the replying instance no longer grants the
// key, so that a successor may hold its current state.
func shouldTrySuccessor(resp *peerpb.ClaimResponse) bool {
	return resp.GetState() == peerpb.ClaimState_CLAIM_STATE_SEALED || resp.GetState() == peerpb.ClaimState_CLAIM_STATE_NOT_OWNER
}

// hasLedger reports whether this instance issued the key or has adopted the
// ledger that it belongs to.
func (o *Owner) hasLedger(k *issuedKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.findLedger(k) != nil
}

// maxSettleAttempts limits how often one settle request is sent.
const maxSettleAttempts = 3

// Settle reports the result of a granted claim to the owner of the key and ends
// the grant. Only the first call for a claim has an effect; later calls return
// false. Settle reports whether the owner confirmed the result. Without a
// confirmation the key resolves to unknown unless a settle request arrived.
func (c *Claimant) Settle(ctx context.Context, claim *Claim, run peerpb.Run, answer *peerpb.Answer) bool {
	g := claim.grantState
	if g == nil || g.settled.Swap(true) {
		return false
	}
	req := &peerpb.SettleRequest{Key: g.key, Grant: claim.Grant, Run: run, Answer: dropLongBody(answer, g.maxReplayBytes)}
	target := g.target
	var lastErr error
	for range maxSettleAttempts {
		var resp *peerpb.SettleResponse
		if target == c.selfAddress {
			resp, lastErr = c.owner.Settle(req), nil
		} else {
			resp, lastErr = c.peers.Settle(ctx, target, req)
		}
		if resp.GetAccepted() {
			return true
		}
		next := c.successor(g, target)
		if ctx.Err() != nil || lastErr == nil && next == target {
			break
		}
		target = next
	}
	c.recorder.Record(eventSettleLost, events.F("request_id", claim.RequestID), events.F("owner", g.parsedKey.owner.String()),
		events.F("run", run.String()), events.F("error", lastErr))
	return false
}

// dropLongBody returns the answer unchanged if its body has at most maxBytes,
// otherwise a copy without the body that is not marked as complete.
func dropLongBody(a *peerpb.Answer, maxBytes int) *peerpb.Answer {
	if a == nil || len(a.GetBody()) <= maxBytes {
		return a
	}
	return &peerpb.Answer{Status: a.GetStatus(), ContentType: a.GetContentType()}
}
