package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/peer/peerpb"
)

// Sizes of an exchange.
const (
	maxExchangeBytes = 64<<10 - 1024 // the limit of the call with room for its framing
	smallBytes       = 1024          // of a notice or a question; header and own record are about 200
	fieldBytes       = 4             // tag and length of one element
	// introduceBytes is room for some records in the reply to an instance that
	// was not known before, whatever the budget says: the few seeds of a large
	// fleet are asked by all others at once when it starts, and an instance
	// that hears of nobody else goes on asking only them.
	introduceBytes = 4 * recordBytes
)

// Source is what the gateway shares with other entries. Ages are relative to
// the moment of the call. Its methods must not call the Table but for Notify.
type Source interface {
	Drains() []*peerpb.DrainMark
	Quarantines() []*peerpb.Quarantine
	// Merge takes what a peer sent. Ages do not include the way of the message.
	Merge(drains []*peerpb.DrainMark, quarantines []*peerpb.Quarantine)
}

// cursors are the positions of the rotation, one per kind.
type cursors struct{ drains, quarantines, members int }

// take returns elements from the position on until the allowance is used up.
func take[M proto.Message](items []M, cursor, allowance *int) []M {
	if len(items) == 0 {
		return nil
	}
	start := *cursor % len(items)
	var out []M
	for i := range items {
		m := items[(start+i)%len(items)]
		size := proto.Size(m) + fieldBytes
		if size > *allowance {
			break
		}
		*allowance -= size
		out = append(out, m)
	}
	*cursor = start + len(out)
	return out
}

// takeShare is take with a part of the allowance.
func takeShare[M proto.Message](items []M, cursor, allowance *int, share int) []M {
	part := *allowance / share
	left := part
	out := take(items, cursor, &left)
	*allowance -= part - left
	return out
}

// shared is what the Source gives for one message. It is read before the table
// is locked.
type shared struct {
	drains      []*peerpb.DrainMark
	quarantines []*peerpb.Quarantine
}

func (t *Table) readSource() shared {
	if t.o.Source == nil {
		return shared{}
	}
	return shared{drains: t.o.Source.Drains(), quarantines: t.o.Source.Quarantines()}
}

// compose fills a message. Drain marks and quarantined fingerprints come
// before the rest, because they keep work away from backend servers.
func (t *Table) compose(now time.Duration, s shared, small, introduce bool) *peerpb.ExchangeRequest {
	own := t.ownRecord()
	m := &peerpb.ExchangeRequest{Header: t.header(), Members: []*peerpb.Member{own}}
	base := proto.Size(m)
	allowance := t.budget.allowance(now, small) - base
	if introduce {
		allowance = max(allowance, introduceBytes)
	}
	switch {
	case allowance <= 0:
	case small:
		allowance = min(allowance, smallBytes-base)
		m.Drains = takeShare(s.drains, &t.cursor.drains, &allowance, 2)
		m.Quarantines = take(s.quarantines, &t.cursor.quarantines, &allowance)
	default:
		m.Drains = takeShare(s.drains, &t.cursor.drains, &allowance, 4)
		m.Quarantines = takeShare(s.quarantines, &t.cursor.quarantines, &allowance, 4)
		m.Members = append(m.Members, t.freshMembers(now, &allowance)...)
		m.Members = append(m.Members, t.rotateMembers(now, &allowance)...)
	}
	size := proto.Size(m)
	t.budget.spend(size)
	t.stats.BytesSent += uint64(size)
	return m
}

// freshMembers returns records that changed beyond their counter.
func (t *Table) freshMembers(now time.Duration, allowance *int) []*peerpb.Member {
	var out []*peerpb.Member
	for _, r := range t.order {
		size := proto.Size(r.member) + fieldBytes
		if r.fresh == 0 || !t.sendable(now, r) || size > *allowance {
			continue
		}
		r.fresh--
		*allowance -= size
		out = append(out, r.member)
	}
	return out
}

func (t *Table) rotateMembers(now time.Duration, allowance *int) []*peerpb.Member {
	var items []*peerpb.Member
	for _, r := range t.order {
		if r.fresh == 0 && t.sendable(now, r) {
			items = append(items, r.member)
		}
	}
	return take(items, &t.cursor.members, allowance)
}

// budget bounds the bytes per second that this instance sends. A message
// always has its header and the own record, which may overdraw the budget;
// later messages then carry nothing else.
type budget struct {
	rate   float64
	tokens float64
	last   time.Duration
}

// allowance returns the size of the next message. Half a second of the budget
// is kept for notices, which carry what is urgent, so that the rotation of the
// rest does not delay them.
func (b *budget) allowance(now time.Duration, notice bool) int {
	b.tokens = min(b.rate, b.tokens+(now-b.last).Seconds()*b.rate)
	b.last = now
	if notice {
		return min(maxExchangeBytes, int(b.tokens))
	}
	// A round sends one message and answers about one, so that each gets half.
	return min(maxExchangeBytes, int((b.tokens-b.rate/2)/2))
}

func (b *budget) spend(bytes int) { b.tokens = max(-b.rate, b.tokens-float64(bytes)) }
