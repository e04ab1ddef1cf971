package feed

import (
	"context"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
)

const (
	// minEvacuationReadDelay bounds the calls to the store where evacuations must take effect
	// within a short time.
	minEvacuationReadDelay = time.Second
	// evacuationReadInterval is the time between two such reads, and lateCheckInterval how
	// often the age of the last complete poll is checked.
	evacuationReadInterval = time.Second
	evacuationReadTimeout  = time.Second // of one page
	lateCheckInterval      = 100 * time.Millisecond
	// maxEvacuationPages bounds the pages of one read. Other writers may write any number
	// of keys.
	maxEvacuationPages = 32
)

// readLateEvacuations reads the evacuations apart while no poll completes.
func (r *Reader) readLateEvacuations() {
	if !r.readsEvacuationsApart() {
		return
	}
	hasFailed := false
	for wait := lateCheckInterval; clock.Sleep(r.ctx, wait); {
		wait = lateCheckInterval
		last := r.lastComplete.Load()
		if last == 0 || time.Since(time.Unix(0, last)) < r.evacuationReadDelay() {
			continue
		}
		wait = evacuationReadInterval
		p, err := r.readEvacuations(evacuationReadTimeout)
		if err != nil {
			if !hasFailed && r.ctx.Err() == nil {
				r.options.Recorder.Record(eventEvacuationsReadFailed, events.F("error", err.Error()))
			}
			hasFailed = true
			continue
		}
		hasFailed = false
		r.applyAhead(p.Changes, p.At)
	}
}

// readsEvacuationsApart reports whether evacuations are read apart where they would be late.
func (r *Reader) readsEvacuationsApart() bool { return r.options.EvacuationBound > 0 }

// evacuationReadDelay returns the time since the last complete poll after which the
// evacuations are read apart: a poll is held up, for example by a large settings tree.
func (r *Reader) evacuationReadDelay() time.Duration {
	return max(minEvacuationReadDelay, r.options.EvacuationBound/2)
}

// IsCurrent reports whether this entry has read the evacuations, or has failed to, within
// the time in which one must take effect. It returns false only after the process has not
// run for some time, until the next read ends.
func (r *Reader) IsCurrent() bool {
	if !r.readsEvacuationsApart() {
		return true
	}
	last := max(r.lastComplete.Load(), r.lastSeparate.Load())
	slowest := r.evacuationReadDelay() + 2*lateCheckInterval + evacuationReadTimeout + evacuationReadInterval
	return time.Since(time.Unix(0, last)) < max(slowest, r.options.EvacuationBound)
}

// readEvacuations reads the keys of evacuations from the store, at most
// maxEvacuationPages, each within timeout.
func (r *Reader) readEvacuations(timeout time.Duration) (all Page, err error) {
	after := ""
	for range maxEvacuationPages {
		r.countCall(CallEvacuations)
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		p, err := r.options.Store.Evacuations(ctx, after)
		cancel()
		r.lastSeparate.Store(time.Now().UnixNano())
		if err != nil {
			return Page{}, err
		}
		all.Changes, all.At, all.HasMore = append(all.Changes, p.Changes...), p.At, p.HasMore && len(p.Changes) > 0
		if !all.HasMore {
			break
		}
		after = p.Changes[len(p.Changes)-1].Key
	}
	return all, nil
}

// evacuationsTo reads the evacuations and returns the changes that lead to them. The store
// had reached the given position before. The error is ErrHistoryLost if the store was
// restored since. Evacuations that are not read apart come with the next complete poll.
func (r *Reader) evacuationsTo(to Position) ([]Change, error) {
	if !r.readsEvacuationsApart() {
		return nil, nil
	}
	p, err := r.readEvacuations(storePollWait)
	if err != nil {
		return nil, err
	}
	if p.At.Era != to.Era {
		return nil, ErrHistoryLost
	}
	if p.HasMore {
		to = Position{} // a key that was not read may exist
	}
	return r.evacuations.changesTo(p.Changes, to), nil
}

// applyAhead applies evacuations that were learned before the changes that precede them,
// and makes them available to peers. Those of another era than that of the log are left to
// the next complete read; before the first one, the log has no era.
func (r *Reader) applyAhead(changes []Change, at Position) {
	if last := r.log.lastPosition(); at.Era != last.Era && last != (Position{}) {
		return
	}
	if r.evacuations.apply(changes, time.Now()) {
		r.publishEvacuations()
	}
	r.log.addAhead(changes, at.Era)
}

// publishEvacuations publishes the current evacuations with the last published backend
// servers, if there is a list.
func (r *Reader) publishEvacuations() {
	r.publish(func() {
		if r.listNumber > 0 {
			r.instanceList = r.evacuations.withRegistered(r.registered)
			r.listNumber++
		}
	})
}

// recordComplete records that everything that the store holds was read, but for settings
// trees.
func (r *Reader) recordComplete(now time.Time) { r.lastComplete.Store(now.UnixNano()) }

// separateAhead separates the changes up to a position from evacuations that a relay has
// passed on ahead of its log.
func (r *Reader) separateAhead(changes []Change, to Position) (inOrder, ahead []Change) {
	for i, c := range changes {
		if c.Revision > to.Revision && r.options.Translator.Kind(c.Key) == Evacuation {
			if ahead == nil {
				inOrder = append(inOrder, changes[:i]...)
			}
			ahead = append(ahead, c)
		} else if ahead != nil {
			inOrder = append(inOrder, c)
		}
	}
	if ahead == nil {
		return changes, nil
	}
	return inOrder, ahead
}
