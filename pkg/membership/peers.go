package membership

import (
	"maps"
	"slices"

	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/platform"
)

// maxConsecutiveFailures is the number of consecutive failed calls from which on
// a peer is chosen less often.
const maxConsecutiveFailures = 3

// peerDomains returns the failure domain of every known peer by address, empty
// if unknown. The caller holds the lock.
func (t *Table) peerDomains() map[string]string {
	out := map[string]string{}
	for _, address := range t.options.SeedAddresses {
		out[address] = ""
	}
	for address, i := range t.listedEntries {
		out[address] = i.FailureDomain
	}
	for _, r := range t.records {
		if r.isLive() {
			out[r.member.Address] = r.member.FailureDomain
		}
	}
	delete(out, t.options.Self.Address)
	return out
}

// randomPeer returns the address of a random peer in the own failure domain or,
// if sameDomain is false, in another one. Peers of unknown failure domain count
// as both. Without such a peer it chooses among all peers; it returns "" if none
// is known. A choice that falls on a failing peer is drawn once more.
func (t *Table) randomPeer(sameDomain bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	peerDomains := t.peerDomains()
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(peerDomains)) {
		if domain := peerDomains[address]; domain == "" || (domain == t.options.Self.FailureDomain) == sameDomain {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		candidates = slices.Sorted(maps.Keys(peerDomains))
	}
	if len(candidates) == 0 {
		return ""
	}
	address := candidates[t.random.IntN(len(candidates))]
	if t.consecutiveFailures[address] >= maxConsecutiveFailures {
		address = candidates[t.random.IntN(len(candidates))]
	}
	return address
}

// Readers returns the peer addresses of the first n other entries of the own
// failure domain, ranked by incarnation, as those that read the platform's store
// on behalf of the others. It also reports whether this entry ranks among the
// first n. Entries that are leaving or for which skip returns true are excluded:
// the age of a record says little about liveness in a large fleet, so skip
// decides. Entries need not agree on the ranks.
func (t *Table) Readers(n int, skip func(address string) bool) (addresses []string, includesSelf bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	precedingPeers := 0 // peers that rank before this entry
	for _, r := range t.sortedRecords {
		m := r.member
		if !r.isLive() || m.FailureDomain != t.self.FailureDomain || m.Phase == peerpb.Phase_PHASE_LEAVING || skip(m.Address) {
			continue
		}
		if m.Incarnation < t.self.Incarnation {
			precedingPeers++
		}
		if len(addresses) < n {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses, precedingPeers < n
}

// randomPeers returns the addresses of up to n random peers of any failure
// domain, excluding failing ones if at least n others are known.
func (t *Table) randomPeers(n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := slices.Sorted(maps.Keys(t.peerDomains()))
	t.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	reachable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return t.consecutiveFailures[a] >= maxConsecutiveFailures })
	if len(reachable) >= n {
		addresses = reachable
	}
	return addresses[:min(n, len(addresses))]
}

// otherEntries returns the addresses of all entries that must reply before
// this one may confirm without a confirmed peer. ok is false until the instance
// list has been read. The caller holds the lock.
func (t *Table) otherEntries() (addresses []string, ok bool) {
	if t.listedEntries == nil {
		return nil, false
	}
	set := map[string]bool{}
	for address, i := range t.listedEntries {
		if i.State == platform.StateLive {
			set[address] = true
		}
	}
	for _, r := range t.records {
		if r.isLive() {
			set[r.member.Address] = true
		}
	}
	delete(set, t.options.Self.Address)
	return slices.Sorted(maps.Keys(set)), true
}
