package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
)

// chooseRelay chooses a relay at random; false means that this entry reads the
// store itself. An entry with recent requests from peers reads the store whatever
// its rank, because these peers may not know the entry that ranks before it yet. For
// some time after it has delivered the full state, a relay is kept: the first one by rank
// changes while entries discover each other, and may not read the store yet.
func (r *Reader) chooseRelay(now time.Time) (string, bool) {
	if r.options.PeerClient == nil || r.options.Relays == nil || r.isServingPeers(now) {
		return "", false
	}
	addresses, isReader := r.options.Relays(func(address string) bool { return now.Before(r.relayBackoff[address].until) })
	if isReader || len(addresses) == 0 {
		return "", false
	}
	if kept := r.loadedFrom; now.Before(r.keepRelayUntil) && !now.Before(r.relayBackoff[kept].until) {
		return kept, true
	}
	return addresses[rand.IntN(len(addresses))], true
}

// keepRelay makes chooseRelay return a relay for keepRelayTime.
func (r *Reader) keepRelay(address string) {
	r.loadedFrom, r.keepRelayUntil = address, time.Now().Add(keepRelayTime)
}

// changesFromRelay requests the changes after a position from a relay. The relay
// waits up to wait for a change. A relay that fails is not used for some time.
func (r *Reader) changesFromRelay(address string, after Position, wait time.Duration) (PeerReply, error) {
	return r.requestFromRelay(address, after, wait, wait+relayPollMargin)
}

// requestFromRelay is changesFromRelay with another timeout.
func (r *Reader) requestFromRelay(address string, after Position, wait, timeout time.Duration) (PeerReply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	reply, err := r.options.PeerClient.Changes(ctx, address, PeerRequest{
		After: after, UnknownTree: r.knownTree() + 1, UnknownEvacuation: max(after.Revision, r.evacuations.lastRevision()) + 1,
		Wait: r.backends.limitWait(time.Now(), wait),
	})
	if err != nil && r.ctx.Err() == nil && !errors.Is(err, ErrHistoryLost) {
		isNotReader := errors.Is(err, ErrNotReader)
		if isNotReader && r.log.lastPosition() == (Position{}) {
			return reply, err // probably it starts too, and will read the store soon
		}
		r.backOff(address, isNotReader)
		r.options.Recorder.Record(eventRelayAvoided, events.F("address", address), events.F("error", err.Error()))
	}
	return reply, err
}

// backOff excludes a relay from use for some time. A relay that does not read the
// store may be about to start doing so: its first backoff is short, and only
// repeated ones are long.
func (r *Reader) backOff(address string, isNotReader bool) {
	delay := failedRelayBackoff
	if isNotReader {
		delay = min(failedRelayBackoff, max(notReaderBackoff, notReaderBackoffFactor*r.relayBackoff[address].delay))
	}
	r.relayBackoff[address] = relayBackoff{until: time.Now().Add(delay), delay: delay}
}
