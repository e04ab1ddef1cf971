package membership

import (
	"maps"
	"slices"

	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/platform"
)

// suspectFailures is the number of failed calls in a row after which a peer is
// chosen less often.
const suspectFailures = 3

// peers returns the failure domain of every peer by address, empty where it is
// not known. The caller holds the lock.
func (t *Table) peers() map[string]string {
	out := map[string]string{}
	for _, address := range t.o.Seeds {
		out[address] = ""
	}
	for address, i := range t.listed {
		out[address] = i.FailureDomain
	}
	for _, r := range t.records {
		if r.live() {
			out[r.member.Address] = r.member.FailureDomain
		}
	}
	delete(out, t.o.Self.Address)
	return out
}

// choosePeer returns a random peer in the own failure domain or in another
// one, or any peer where there is none such.
func (t *Table) choosePeer(own bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := t.peers()
	var match []string
	for _, address := range slices.Sorted(maps.Keys(peers)) {
		if domain := peers[address]; domain == "" || (domain == t.o.Self.FailureDomain) == own {
			match = append(match, address)
		}
	}
	if len(match) == 0 {
		match = slices.Sorted(maps.Keys(peers))
	}
	if len(match) == 0 {
		return ""
	}
	address := match[t.random.IntN(len(match))]
	if t.failures[address] >= suspectFailures {
		address = match[t.random.IntN(len(match))]
	}
	return address
}

// Readers returns the addresses of the entries of the own failure domain that
// read the platform's store for the others, the first n by rank, and whether
// this entry is one of them. Those that leave or that skip names are passed
// over: how recently an instance was heard of says little in a large fleet, so
// whoever calls it decides. Entries need not agree on the ranks.
func (t *Table) Readers(n int, skip func(address string) bool) (addresses []string, isOwn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	better := 0 // peers that rank before this entry
	for _, r := range t.order {
		m := r.member
		if !r.live() || m.FailureDomain != t.self.FailureDomain || m.Phase == peerpb.Phase_PHASE_LEAVING || skip(m.Address) {
			continue
		}
		if m.Incarnation < t.self.Incarnation {
			better++
		}
		if len(addresses) < n {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses, better < n
}

// choose returns n random peers of any failure domain.
func (t *Table) choose(n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Sorted(maps.Keys(t.peers()))
	t.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	good := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return t.failures[a] >= suspectFailures })
	if len(good) >= n {
		all = good
	}
	return all[:min(n, len(all))]
}

// others returns the addresses of all entries that must reply before this one
// may confirm without a confirmed peer; ok is false until the instance list
// was read. The caller holds the lock.
func (t *Table) others() (addresses []string, ok bool) {
	if t.listed == nil {
		return nil, false
	}
	set := map[string]bool{}
	for address, i := range t.listed {
		if i.State == platform.StateLive {
			set[address] = true
		}
	}
	for _, r := range t.records {
		if r.live() {
			set[r.member.Address] = true
		}
	}
	delete(set, t.o.Self.Address)
	return slices.Sorted(maps.Keys(set)), true
}
