package feed

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
)

const (
	// maxRelayedTreeBytes is the size of a settings tree above which a relay
	// leaves it out of its replies and announces only its version. A relay sends
	// each tree to all entries of its failure domain at once, and while a large
	// one occupies its network link, changes of registrations are late.
	maxRelayedTreeBytes = 16 << 10
	// treeSpreadTime is the mean time that an entry waits for an announced tree to
	// arrive through the exchange between entries, before it reads it from the
	// store.
	treeSpreadTime = 600 * time.Millisecond
	// heldUpTime is how long after a reply of the store was held up the settings tree is
	// read apart, and heldUpTreeInterval how often. Other writers renew their values about
	// every two seconds, so that the next reply is held up too.
	heldUpTime         = 3 * time.Second
	heldUpTreeInterval = 700 * time.Millisecond
)

// takeTree returns changes without settings trees. The newest tree is decoded in the
// background: meanwhile other changes are applied and served to peers.
func (r *Reader) takeTree(changes []Change) []Change {
	var newest *Change
	rest := make([]Change, 0, len(changes))
	for i, c := range changes {
		if r.options.Translator.Kind(c.Key) == Tree {
			newest = &changes[i]
		} else {
			rest = append(rest, c)
		}
	}
	if newest != nil {
		r.log.beginDecoding(newest.Revision)
		r.mu.Lock()
		r.receivedTree = newest
		r.mu.Unlock()
		signal(r.received)
	}
	return rest
}

// signal makes the next receive from a channel with a buffer of one return.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// decodeReceivedTrees decodes received trees and publishes them. A tree that is
// received while another is decoded replaces those that wait.
func (r *Reader) decodeReceivedTrees() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.received:
		}
		r.mu.Lock()
		c := r.receivedTree
		r.receivedTree = nil
		r.mu.Unlock()
		if c != nil {
			r.applyTree(*c)
		}
	}
}

// applyTree publishes a settings tree if its version is above the current one, so
// that a change that is read twice has no effect, and makes it available to peers. A
// tree without its value is obtained by fetchAnnouncedTrees.
func (r *Reader) applyTree(c Change) {
	defer r.log.endDecoding(c.Revision)
	switch {
	case c.Deleted:
		return
	case c.TreeVersion > 0:
		r.ExpectTree(c.TreeVersion)
		r.log.setTree(c, c.TreeVersion)
		return
	}
	r.decodeMu.Lock()
	defer r.decodeMu.Unlock()
	version, text, err := r.options.Translator.Tree(c.Value)
	if err != nil {
		r.options.Recorder.Record(eventTreeRefused, events.F("revision", c.Revision), events.F("error", err.Error()))
		return
	}
	r.publishTree(version, text)
	if len(c.Value) > maxRelayedTreeBytes {
		c.Value, c.TreeVersion = nil, version
	}
	r.log.setTree(c, version)
}

// knownTree returns the highest version of a settings tree that is in force, published
// or announced.
func (r *Reader) knownTree() uint64 {
	var inForce uint64
	if r.options.TreeInForce != nil {
		inForce = r.options.TreeInForce()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.version, r.announcedTree, inForce)
}

// publishTree publishes a settings tree if its version is above the current one.
func (r *Reader) publishTree(version uint64, text []byte) {
	r.publish(func() {
		if version > r.version {
			r.version, r.tree = version, text
		}
	})
}

// ExpectTree makes the Reader obtain a version that exists, for example one that a relay
// has announced, unless it arrives otherwise.
func (r *Reader) ExpectTree(version uint64) {
	r.mu.Lock()
	r.announcedTree = max(r.announcedTree, version)
	r.mu.Unlock()
	signal(r.announced)
}

// isTreeMissing reports whether an announced version is neither in force nor
// published.
func (r *Reader) isTreeMissing() bool {
	var inForce uint64
	if r.options.TreeInForce != nil {
		inForce = r.options.TreeInForce()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcedTree > max(r.version, inForce)
}

// fetchAnnouncedTrees reads the settings tree from the store if an announced
// version does not arrive through the exchange between entries.
func (r *Reader) fetchAnnouncedTrees() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.announced:
		}
		for clock.Sleep(r.ctx, treeSpreadTime/2+rand.N(treeSpreadTime)) && r.isTreeMissing() {
			if r.fetchTree() {
				break
			}
		}
	}
}

// fetchHeldUpTrees reads the settings tree from the store while its replies are held up by
// values of other writers, so that a new version does not wait for them.
func (r *Reader) fetchHeldUpTrees() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.heldUp:
		}
		for end := time.Now().Add(heldUpTime); time.Now().Before(end); {
			r.fetchTree()
			if !clock.Sleep(r.ctx, heldUpTreeInterval) {
				return
			}
		}
	}
}

// fetchTree reads and publishes the settings tree of the store and reports
// whether the store answered.
func (r *Reader) fetchTree() bool {
	r.countCall(CallTree)
	version, text, err := r.options.Store.Tree(r.ctx)
	if err == nil {
		r.publishTree(version, text)
	} else if r.ctx.Err() == nil {
		r.options.Recorder.Record(eventTreeReadFailed, events.F("error", err.Error()))
	}
	return err == nil
}
