package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"

	"lentilpin/pkg/peer/peerpb"
)

// Names of the calls on the wire.
const (
	callExchange = "/lentilpin.peer.v1.Peer/Exchange"
	callTree     = "/lentilpin.peer.v1.Peer/Tree"
	callChanges  = "/lentilpin.peer.v1.Peer/Changes"
	callClaim    = "/lentilpin.peer.v1.Peer/Claim"
	callSettle   = "/lentilpin.peer.v1.Peer/Settle"
	callHandover = "/lentilpin.peer.v1.Peer/Handover"
)

const (
	smallMessage = 64 << 10
	// treeMessage leaves room for the header beside a tree of one megabyte.
	treeMessage = 1<<20 + 64<<10
	// MaxHandoverBytes is the largest handover chunk in bytes, header included.
	MaxHandoverBytes = 1 << 20
)

// call is one rpc with its bounds.
type call struct {
	name     string
	maxBytes int           // either message, encoded
	timeout  time.Duration // default, and upper bound unless longest is set
	longest  time.Duration // upper bound of a deadline that the context sets
	encoding drpc.Encoding
}

// The longest claim is the largest claimMs that the settings schema allows; the
// claimant's context carries claimMs itself.
var calls = buildCalls(
	call{name: callExchange, maxBytes: smallMessage, timeout: time.Second},
	call{name: callTree, maxBytes: treeMessage, timeout: 3 * time.Second},
	call{name: callChanges, maxBytes: treeMessage, timeout: 5 * time.Second},
	call{name: callClaim, maxBytes: smallMessage, timeout: 500 * time.Millisecond, longest: time.Minute},
	call{name: callSettle, maxBytes: smallMessage, timeout: time.Second},
	call{name: callHandover, maxBytes: MaxHandoverBytes, timeout: 3 * time.Second},
)

func buildCalls(list ...call) map[string]*call {
	table := make(map[string]*call, len(list))
	for i := range list {
		list[i].longest = max(list[i].longest, list[i].timeout)
		table[list[i].name] = &list[i]
	}
	d := peerpb.DRPCPeerDescription{}
	for i := range d.NumMethods() {
		name, enc, _, _, _ := d.Method(i)
		table[name].encoding = limitedEncoding{enc, table[name].maxBytes}
	}
	return table
}

// refusal is the reason why a message is not accepted.
type refusal string

func (r refusal) Error() string { return "message refused: " + string(r) }

const (
	refusedUnknown   = refusal("unknown call")
	refusedSecret    = refusal("wrong secret")
	refusedOversized = refusal("oversized")
	refusedMalformed = refusal("malformed")
	refusedHeader    = refusal("no header")
)

// ErrRefused matches the error of a call whose request or reply is not
// accepted by this side.
var ErrRefused = errors.New("peer message refused")

// Is makes every refusal match ErrRefused.
func (r refusal) Is(target error) bool { return target == ErrRefused }

// limitedEncoding bounds the encoded size of messages in both directions.
type limitedEncoding struct {
	drpc.Encoding
	maxBytes int
}

// Marshal implements drpc.Encoding.
func (e limitedEncoding) Marshal(m drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, m) }

// MarshalAppend lets drpc reuse its buffer.
func (e limitedEncoding) MarshalAppend(buf []byte, m drpc.Message) ([]byte, error) {
	start := len(buf)
	buf, err := e.Encoding.(interface {
		MarshalAppend([]byte, drpc.Message) ([]byte, error)
	}).MarshalAppend(buf, m)
	if err == nil && len(buf)-start > e.maxBytes {
		err = refusedOversized
	}
	return buf, err
}

// Unmarshal implements drpc.Encoding.
func (e limitedEncoding) Unmarshal(buf []byte, m drpc.Message) error {
	if len(buf) > e.maxBytes {
		return refusedOversized
	}
	if err := e.Encoding.Unmarshal(buf, m); err != nil {
		return refusedMalformed
	}
	if h := m.(headed).GetHeader(); h.GetInstance() == "" {
		return refusedHeader
	}
	return nil
}

// headed is implemented by every message of the service.
type headed interface{ GetHeader() *peerpb.Header }

// description is the generated description with bounded messages and a header
// on every reply.
type description struct {
	peerpb.DRPCPeerDescription
	options *Options
}

// Method implements drpc.Description.
func (d description) Method(i int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	name, _, receive, method, ok := d.DRPCPeerDescription.Method(i)
	if !ok {
		return "", nil, nil, nil, false
	}
	receiver := func(srv any, ctx context.Context, in1, in2 any) (drpc.Message, error) {
		d.options.seen("", in1.(headed).GetHeader())
		out, err := receive(srv, ctx, in1, in2)
		if err == nil {
			setHeader(out, d.options.Header())
		}
		return out, err
	}
	return name, calls[name].encoding, receiver, method, true
}

func setHeader(m drpc.Message, h *peerpb.Header) {
	switch m := m.(type) {
	case *peerpb.ExchangeRequest:
		m.Header = h
	case *peerpb.TreeRequest:
		m.Header = h
	case *peerpb.ChangesRequest:
		m.Header = h
	case *peerpb.ChangesResponse:
		m.Header = h
	case *peerpb.ClaimRequest:
		m.Header = h
	case *peerpb.SettleRequest:
		m.Header = h
	case *peerpb.HandoverRequest:
		m.Header = h
	case *peerpb.ExchangeResponse:
		m.Header = h
	case *peerpb.TreeResponse:
		m.Header = h
	case *peerpb.ClaimResponse:
		m.Header = h
	case *peerpb.SettleResponse:
		m.Header = h
	case *peerpb.HandoverResponse:
		m.Header = h
	}
}
