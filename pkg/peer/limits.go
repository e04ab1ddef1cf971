package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"

	"lentilpin/pkg/peer/peerpb"
)

// Names of the RPC methods on the wire.
const (
	methodExchange = "/lentilpin.peer.v1.Peer/Exchange"
	methodTree     = "/lentilpin.peer.v1.Peer/Tree"
	methodChanges  = "/lentilpin.peer.v1.Peer/Changes"
	methodPermit   = "/lentilpin.peer.v1.Peer/Permit"
	methodClaim    = "/lentilpin.peer.v1.Peer/Claim"
	methodSettle   = "/lentilpin.peer.v1.Peer/Settle"
	methodHandover = "/lentilpin.peer.v1.Peer/Handover"
)

const (
	// maxSmallMessageBytes limits the messages of methods without bulk data.
	maxSmallMessageBytes = 64 << 10
	// maxTreeMessageBytes leaves space for the header next to a settings tree of
	// 1 MiB.
	maxTreeMessageBytes = 1<<20 + 64<<10
	// MaxHandoverBytes is the maximum size of a handover message in bytes,
	// including the header.
	MaxHandoverBytes = 1 << 20
)

// method describes an RPC method and its limits.
type method struct {
	name       string
	maxBytes   int           // maximum encoded size of the request and of the reply
	timeout    time.Duration // default timeout, and the maximum unless maxTimeout is greater
	maxTimeout time.Duration // maximum timeout if the context has a deadline
	encoding   drpc.Encoding
}

// methods holds the RPC methods by name. The maxTimeout of a claim is the maximum
// of the setting claimMs; the context of the claimant enforces claimMs itself.
var methods = buildMethods(
	method{name: methodExchange, maxBytes: maxSmallMessageBytes, timeout: time.Second},
	method{name: methodTree, maxBytes: maxTreeMessageBytes, timeout: 3 * time.Second},
	method{name: methodChanges, maxBytes: maxTreeMessageBytes, timeout: 5 * time.Second},
	method{name: methodPermit, maxBytes: maxSmallMessageBytes, timeout: 100 * time.Millisecond},
	method{name: methodClaim, maxBytes: maxSmallMessageBytes, timeout: 500 * time.Millisecond, maxTimeout: time.Minute},
	method{name: methodSettle, maxBytes: maxSmallMessageBytes, timeout: time.Second},
	method{name: methodHandover, maxBytes: MaxHandoverBytes, timeout: 3 * time.Second},
)

// buildMethods completes the specs with default limits and limited encodings.
func buildMethods(specs ...method) map[string]*method {
	table := make(map[string]*method, len(specs))
	for i := range specs {
		specs[i].maxTimeout = max(specs[i].maxTimeout, specs[i].timeout)
		table[specs[i].name] = &specs[i]
	}
	d := peerpb.DRPCPeerDescription{}
	for i := range d.NumMethods() {
		name, enc, _, _, _ := d.Method(i)
		table[name].encoding = limitedEncoding{enc, table[name].maxBytes}
	}
	return table
}

// refusal is the reason for refusing a message.
type refusal string

func (r refusal) Error() string { return "message refused: " + string(r) }

const (
	refusedUnknownMethod = refusal("unknown call")
	refusedWrongSecret   = refusal("wrong secret")
	refusedOversized     = refusal("oversized")
	refusedMalformed     = refusal("malformed")
	refusedMissingHeader = refusal("no header")
)

// ErrRefused matches the error of a call whose request or reply was refused by
// the calling side.
var ErrRefused = errors.New("peer message refused")

// Is reports whether target is ErrRefused, which every refusal matches.
func (r refusal) Is(target error) bool { return target == ErrRefused }

// limitedEncoding limits the encoded size of sent and received messages and
// requires a header in received messages.
type limitedEncoding struct {
	drpc.Encoding
	maxBytes int
}

// Marshal implements drpc.Encoding.
func (e limitedEncoding) Marshal(m drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, m) }

// MarshalAppend appends the encoded message to buf, which lets drpc reuse its
// buffer.
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
	if h := m.(messageWithHeader).GetHeader(); h.GetInstance() == "" {
		return refusedMissingHeader
	}
	return nil
}

// messageWithHeader is implemented by every message of the service.
type messageWithHeader interface{ GetHeader() *peerpb.Header }

// limitedDescription is the generated service description with message size
// limits and a header on every reply.
type limitedDescription struct {
	peerpb.DRPCPeerDescription
	options *Options
}

// Method implements drpc.Description.
func (d limitedDescription) Method(i int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	name, _, receive, method, ok := d.DRPCPeerDescription.Method(i)
	if !ok {
		return "", nil, nil, nil, false
	}
	receiver := func(srv any, ctx context.Context, in1, in2 any) (drpc.Message, error) {
		d.options.notifyHeader("", in1.(messageWithHeader).GetHeader())
		out, err := receive(srv, ctx, in1, in2)
		if err == nil {
			setHeader(out, d.options.Header())
		}
		return out, err
	}
	return name, methods[name].encoding, receiver, method, true
}

// setHeader sets the header of a message of the service.
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
	case *peerpb.PermitRequest:
		m.Header = h
	case *peerpb.PermitResponse:
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
