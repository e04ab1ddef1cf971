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
	treeSpreadTime = 300 * time.Millisecond
)

// applyTrees applies the newest settings tree among changes. It returns the
// changes for the log: without superseded trees, and without the values of large
// trees.
func (r *Reader) applyTrees(changes []Change) []Change {
	newest := -1
	for i, c := range changes {
		if r.options.Translator.Kind(c.Key) == Tree {
			newest = i
		}
	}
	if newest < 0 {
		return changes
	}
	relayed := make([]Change, 0, len(changes))
	for i, c := range changes {
		if i != newest && r.options.Translator.Kind(c.Key) == Tree {
			continue
		}
		relayed = append(relayed, r.applyTree(c))
	}
	return relayed
}

// applyTree publishes a settings tree if its version is above the current one, so
// that a change that is read twice has no effect. It returns the change for the
// log, without the value of a large tree. Other changes are returned as they are.
func (r *Reader) applyTree(c Change) Change {
	if r.options.Translator.Kind(c.Key) != Tree || c.Deleted {
		return c
	}
	if c.TreeVersion > 0 {
		r.expectTree(c.TreeVersion)
		return c
	}
	version, text, err := r.options.Translator.Tree(c.Value)
	if err != nil {
		r.options.Recorder.Record(eventTreeRefused, events.F("revision", c.Revision), events.F("error", err.Error()))
	} else {
		r.publishTree(version, text)
	}
	if len(c.Value) > maxRelayedTreeBytes {
		c.Value, c.TreeVersion = nil, version
	}
	return c
}

// publishTree publishes a settings tree if its version is above the current one.
func (r *Reader) publishTree(version uint64, text []byte) {
	r.publish(func() {
		if version > r.version {
			r.version, r.tree = version, text
		}
	})
}

// expectTree makes fetchAnnouncedTrees obtain a version that a relay has
// announced.
func (r *Reader) expectTree(version uint64) {
	r.mu.Lock()
	r.announcedTree = max(r.announcedTree, version)
	r.mu.Unlock()
	select {
	case r.announced <- struct{}{}:
	default:
	}
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

// fetchTree reads and publishes the settings tree of the store and reports
// whether the store answered.
func (r *Reader) fetchTree() bool {
	version, text, err := r.options.Store.Tree(r.ctx)
	if err == nil {
		r.publishTree(version, text)
	} else if r.ctx.Err() == nil {
		r.options.Recorder.Record(eventTreeReadFailed, events.F("error", err.Error()))
	}
	return err == nil
}
