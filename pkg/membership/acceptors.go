package membership

import "lentilpin/pkg/peer/peerpb"

// Acceptors returns the addresses at which other instances accept requests that peers
// hand on: at most n, without those for which skip returns true. The first is in the own
// failure domain, where the way is shortest, and the others are in any order of failure
// domains, because a partition often affects most of one. Instances that are not ready
// or whose record has not been renewed lately are left out.
func (t *Table) Acceptors(n int, skip func(address string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var near, far []string
	for _, r := range t.sortedRecords {
		m := r.member
		if !r.isLive() || m.Phase != peerpb.Phase_PHASE_READY || m.RequestsAddress == "" || m.Instance == t.self.Instance ||
			now-r.counterIncreasedAt > t.forgetDelay()/2 || skip(m.RequestsAddress) {
			continue
		}
		if m.FailureDomain == t.self.FailureDomain {
			near = append(near, m.RequestsAddress)
		} else {
			far = append(far, m.RequestsAddress)
		}
	}
	t.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	t.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	var out []string
	for len(out) < n && len(near)+len(far) > 0 {
		if len(near) > 0 && (len(out) == 0 || len(far) == 0) {
			out, near = append(out, near[0]), near[1:]
			continue
		}
		out, far = append(out, far[0]), far[1:]
	}
	return out
}
