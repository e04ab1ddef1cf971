package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcwire"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Defaults of Options.
const (
	DefaultMaxPerPeer     = 8
	DefaultMaxConnections = 4096
	DefaultIdle           = 30 * time.Second
	// serverIdleFactor makes the caller close an idle connection before the
	// peer does, so that no call meets a connection that is being closed.
	serverIdleFactor = 2
)

const secretKey = "lentilpin-peer-secret"

// Options are the settings of both sides.
type Options struct {
	Secret         string                // shared by all entries
	Header         func() *peerpb.Header // header of outgoing messages, must name the instance; not modified
	Recorder       events.Recorder       // default: events are dropped
	MaxPerPeer     int                   // default 8; calls at once, and so connections, to one peer
	MaxConnections int                   // default 4096; connections that the server holds
	Idle           time.Duration         // default 30 s; the caller closes an unused connection after this, the server after twice as long

	// Seen is called with the header of every accepted message and, for a
	// reply, with the address of the peer. It must not block. Default: none.
	Seen func(address string, h *peerpb.Header)
}

func (o Options) withDefaults() *Options {
	if o.Recorder == nil {
		o.Recorder = events.Discard{}
	}
	if o.MaxPerPeer == 0 {
		o.MaxPerPeer = DefaultMaxPerPeer
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.Idle == 0 {
		o.Idle = DefaultIdle
	}
	return &o
}

func (o *Options) seen(address string, h *peerpb.Header) {
	if o.Seen != nil {
		o.Seen(address, h)
	}
}

// authorized compares digests, so that the time taken does not depend on the
// length of the secret either.
func (o *Options) authorized(ctx context.Context) bool {
	pairs, _ := drpcmetadata.Get(ctx)
	got, want := sha256.Sum256([]byte(pairs[secretKey])), sha256.Sum256([]byte(o.Secret))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: treeMessage},
		InactivityTimeout: idle,
	}
}
