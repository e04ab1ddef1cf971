package quarantine

import (
	"cmp"
	"slices"
	"time"

	"lentilpin/pkg/config/dynamic"
)

const (
	// evidenceSpreadTime is how long evidence is sent to peers. An exchange reaches the
	// whole fleet in a few rounds.
	evidenceSpreadTime = 10 * time.Second
	// sameCrashWindow is the time within which reports on one backend server describe the
	// same crash: ages do not include the transmission times of the messages.
	sameCrashWindow = 2 * time.Second
	maxClearances   = 1024
)

// Evidence is what instances tell each other about a request: that it crashed a backend
// server, or that it ran.
type Evidence struct {
	Fingerprint uint64
	Address     string        // of the backend server that crashed; empty: the request ran
	At          time.Duration // on the clock of the calling code
}

// Evidence returns the blame and the clearances of the last evidenceSpreadTime, sorted by
// fingerprint and address. It must be called at least once a second.
func (l *List) Evidence(now time.Duration) (out []Evidence) {
	if l.blames.Load() == 0 && l.clearanceCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, blames := range l.blamed {
		for _, b := range blames {
			if now-b.at <= evidenceSpreadTime {
				out = append(out, Evidence{fp, b.address, b.at})
			}
		}
	}
	for fp, at := range l.clearances {
		if now-at > evidenceSpreadTime {
			delete(l.clearances, fp)
			continue
		}
		out = append(out, Evidence{Fingerprint: fp, At: at})
	}
	l.clearanceCount.Store(int32(len(l.clearances)))
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Address, b.Address))
	})
	return out
}

// MergeEvidence adds the evidence of a peer. What contradicts later evidence, or is older
// than evidenceSpreadTime, has no effect.
func (l *List) MergeEvidence(now time.Duration, e Evidence) {
	if now-e.At > evidenceSpreadTime {
		return
	}
	l.mu.Lock()
	defer l.unlockAndRecord()
	if e.Address == "" {
		l.mergeClearance(e)
		return
	}
	clearedAt, isCleared := l.clearances[e.Fingerprint]
	if isCleared && clearedAt >= e.At || l.isBlamedFor(e) {
		return
	}
	l.blame(now, brokenAttempt{e.Fingerprint, e.At}, e.Address, e.At)
}

// isBlamedFor reports whether the crash that e states is known.
func (l *List) isBlamedFor(e Evidence) bool {
	return slices.ContainsFunc(l.blamed[e.Fingerprint], func(b blame) bool {
		return b.address == e.Address && (b.at-e.At).Abs() <= sameCrashWindow
	})
}

// mergeClearance applies a peer's statement that a request ran. The caller holds l.mu.
func (l *List) mergeClearance(e Evidence) {
	if at, ok := l.clearances[e.Fingerprint]; ok && at >= e.At-sameCrashWindow {
		return
	}
	l.clear(e.Fingerprint, e.At, "ran_at_peer")
}

// clear removes the blame of a request that ran at a point in time, ends its quarantine
// unless that follows a failed trial, and spreads the statement if anything changed. The
// caller holds l.mu.
func (l *List) clear(fp uint64, at time.Duration, reason string) {
	_, changed := l.blamed[fp]
	delete(l.blamed, fp)
	l.blames.Store(int32(len(l.blamed)))
	if q, ok := l.quarantined[fp]; ok && (q.isFirst || at >= q.until) {
		l.release(fp, reason)
		changed = true
		l.hasNews.Store(true)
	}
	if !changed {
		return
	}
	evictOldest(l.clearances, maxClearances, func(at time.Duration) time.Duration { return at })
	l.clearances[fp] = at
	l.clearanceCount.Store(int32(len(l.clearances)))
}

// TakeNews reports whether the list has learned anything since the last call that the
// peers should know at once.
//
// Crashes of backend servers blame every request that was in progress there, and most of
// these run elsewhere at once. Peers are therefore told at once of an instance's own
// evidence and of quarantines and their ends, but what a peer has reported, and the
// clearance of a request that was only blamed, go out with the periodic exchange:
// forwarding them at once would cost messages of the whole fleet for each such request.
func (l *List) TakeNews() bool { return l.hasNews.Swap(false) }

// IsBlamed reports whether a request is blamed for the crash of a backend server.
func (l *List) IsBlamed(fp uint64) bool {
	if l.blames.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, blamed := l.blamed[fp]
	return blamed
}

// IsInForce reports whether a quarantine of the fingerprint is in force. Unlike
// CheckBlocked it begins no trial.
func (l *List) IsInForce(now time.Duration, fp uint64) bool {
	if l.quarantinedCount.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	q, ok := l.quarantined[fp]
	return ok && now < q.until
}

// IsSuspect reports whether the fingerprint is in quarantine or on probation. Unlike
// CheckBlocked it begins no trial: it decides on further attempts of a request.
func (l *List) IsSuspect(now time.Duration, fp uint64) bool {
	if l.quarantinedCount.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	q, ok := l.quarantined[fp]
	return ok && now < q.until+dynamic.MillisToDuration(l.settings.DurationMS)
}

// TrialInterval returns the shortest time between two trials of a fingerprint over all
// instances, and whether a trial is due at this instance: the fingerprint is on probation
// and no trial is in progress here.
func (l *List) TrialInterval(now time.Duration, fp uint64) (interval time.Duration, isDue bool) {
	if l.quarantinedCount.Load() == 0 {
		return 0, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	duration := dynamic.MillisToDuration(l.settings.DurationMS)
	q, ok := l.quarantined[fp]
	isDue = ok && now >= q.until && now < q.until+duration && now >= q.trialUntil
	return duration / trialIntervalDivisor, isDue
}
