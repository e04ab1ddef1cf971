package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"time"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcwire"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Defaults of Options. DefaultMaxConnectionsPerPeer and DefaultMaxConnections
// are numbers of connections.
const (
	DefaultMaxConnectionsPerPeer = 8
	DefaultMaxConnections        = 4096
	DefaultIdleTimeout           = 30 * time.Second
	DefaultMaxHandshakes         = 128
	DefaultHandshakeTimeout      = 5 * time.Second
	// serverIdleFactor is the idle timeout of the server as a multiple of the
	// client's. The client then closes an idle connection first and does not start
	// a call on a connection that the server is closing.
	serverIdleFactor = 2
)

// secretMetadataKey is the key of the peer secret in the drpc metadata.
const secretMetadataKey = "lentilpin-peer-secret"

// Options configures a Client or a server.
type Options struct {
	Secret                string                // shared secret of all entries
	Header                func() *peerpb.Header // returns the header of outgoing messages, which must name the instance; the header is not modified
	Recorder              events.Recorder       // default: events are discarded
	MaxConnectionsPerPeer int                   // default 8; limits the concurrent calls, and thereby the connections, of a client to one peer
	MaxConnections        int                   // default 4096; limits the open connections of the server
	IdleTimeout           time.Duration         // default 30 s; the client closes an idle connection after this time, the server after twice this time

	MaxHandshakes    int           // default 128; limits the connections of the server whose first call has not shown the secret
	HandshakeTimeout time.Duration // default 5 s; the server closes such a connection after this time
	HandshakesClosed tally.Counter // counts such connections that were closed; default: not counted

	limiter *eventLimiter

	// OnHeader is called with the header of every accepted message. address is
	// the address of the peer for a reply, and empty for a request. OnHeader must
	// not block. Default: no callback.
	OnHeader func(address string, h *peerpb.Header)
}

// withDefaults returns a copy of the options with defaults for unset fields.
func (o Options) withDefaults() *Options {
	if o.Recorder == nil {
		o.Recorder = events.Discard{}
	}
	if o.MaxConnectionsPerPeer == 0 {
		o.MaxConnectionsPerPeer = DefaultMaxConnectionsPerPeer
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.MaxHandshakes == 0 {
		o.MaxHandshakes = DefaultMaxHandshakes
	}
	if o.HandshakeTimeout == 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if o.HandshakesClosed == nil {
		o.HandshakesClosed = tally.NoopScope.Counter("")
	}
	o.limiter = &eventLimiter{}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &o
}

// notifyHeader calls OnHeader if it is set.
func (o *Options) notifyHeader(address string, h *peerpb.Header) {
	if o.OnHeader != nil {
		o.OnHeader(address, h)
	}
}

// authorized reports whether the request carries the peer secret. It compares
// digests in constant time, so that the duration does not depend on the length
// of the secret either.
func (o *Options) authorized(ctx context.Context) bool {
	pairs, _ := drpcmetadata.Get(ctx)
	got, want := sha256.Sum256([]byte(pairs[secretMetadataKey])), sha256.Sum256([]byte(o.Secret))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// managerOptions returns the drpc connection options. An idle timeout of 0 means
// no timeout.
func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxTreeMessageBytes},
		InactivityTimeout: idle,
	}
}
