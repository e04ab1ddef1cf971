package membership

const (
	// minOtherDomainInterval is the smallest n for which every n-th round calls a peer in
	// another failure domain.
	minOtherDomainInterval = 4
	// otherDomainCalls is the number of calls to other failure domains that the instances
	// of one failure domain make together in a round. Urgent changes are sent to random
	// peers at once, so these calls only keep the records of other failure domains live:
	// they carry some 70 records a second, whatever the size of the fleet.
	otherDomainCalls = 2
	// discoveryRounds is the number of rounds after the start in which an instance makes
	// its share of calls to other failure domains as if it were one of few: it does not
	// know yet how many there are.
	discoveryRounds = 20
)

// otherDomainInterval returns the number n for which every n-th round calls a peer in
// another failure domain. Bytes between failure domains are expensive, and with a fixed
// number their sum would grow with the fleet. The caller holds the lock.
func (t *Table) otherDomainInterval() int {
	if t.roundCount <= discoveryRounds {
		return minOtherDomainInterval
	}
	inDomain := 1
	for _, r := range t.sortedRecords {
		if r.isLive() && r.member.FailureDomain == t.self.FailureDomain && r.member.Instance != t.self.Instance {
			inDomain++
		}
	}
	return max(minOtherDomainInterval, inDomain/otherDomainCalls)
}
