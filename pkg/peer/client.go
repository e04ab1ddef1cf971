package peer

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Client calls the peer service of other entries by their address. It is safe
// for concurrent use.
type Client struct {
	options  *Options
	pool     *drpcpool.Pool[string, *drpcconn.Conn]
	metadata context.Context // carries the secret as drpc metadata
	dialer   net.Dialer

	mu           sync.Mutex
	callLimiters map[string]*callLimiter // by address, for peers with calls in progress
}

// callLimiter limits the number of calls in progress to one peer.
type callLimiter struct {
	refCount  int           // running and waiting calls; guarded by Client.mu
	semaphore chan struct{} // holds one element per running call
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	options := o.withDefaults()
	return &Client{
		options: options,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: options.IdleTimeout, KeyCapacity: options.MaxConnectionsPerPeer,
		}),
		metadata:     drpcmetadata.Add(context.Background(), secretMetadataKey, options.Secret),
		callLimiters: map[string]*callLimiter{},
	}
}

// Close closes the idle connections. All calls must have returned.
func (c *Client) Close() error { return c.pool.Close() }

// Exchange exchanges state with the peer. The call times out after at most 1 s.
func (c *Client) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return invoke(ctx, c, address, methodExchange, in, new(peerpb.ExchangeResponse))
}

// Tree fetches the settings tree of the peer. The call times out after at most
// 3 s.
func (c *Client) Tree(ctx context.Context, address string, in *peerpb.TreeRequest) (*peerpb.TreeResponse, error) {
	return invoke(ctx, c, address, methodTree, in, new(peerpb.TreeResponse))
}

// Changes waits for changes of the platform's store at the peer. The call times
// out after at most 5 s.
func (c *Client) Changes(ctx context.Context, address string, in *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	return invoke(ctx, c, address, methodChanges, in, new(peerpb.ChangesResponse))
}

// Permit asks the peer for the permit to send one request to a rate-limited
// backend server. The call times out after at most 100 ms.
func (c *Client) Permit(ctx context.Context, address string, in *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	return invoke(ctx, c, address, methodPermit, in, new(peerpb.PermitResponse))
}

// Claim requests the grant of a key from the peer. After an error it is unknown
// whether the key was granted. The call times out at the deadline of ctx but
// after at most one minute, or after 500 ms if ctx has no deadline.
func (c *Client) Claim(ctx context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return invoke(ctx, c, address, methodClaim, in, new(peerpb.ClaimResponse))
}

// Settle reports the result of a grant to the peer. The call times out after at
// most 1 s.
func (c *Client) Settle(ctx context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return invoke(ctx, c, address, methodSettle, in, new(peerpb.SettleResponse))
}

// Handover sends one chunk of a sealed ledger to the peer. The call times out
// after at most 3 s.
func (c *Client) Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return invoke(ctx, c, address, methodHandover, in, new(peerpb.HandoverResponse))
}

// invoke makes one call. After any error it is unknown whether the peer has
// handled the request. The error matches ErrRefused if this side refused the
// request or the reply, and context.DeadlineExceeded if the call timed out.
func invoke[Out drpc.Message](ctx context.Context, c *Client, address, name string, in drpc.Message, out Out) (Out, error) {
	var zero Out
	method := methods[name]
	timeout := method.timeout
	if _, ok := ctx.Deadline(); ok {
		timeout = method.maxTimeout
	}
	ctx, cancel := context.WithTimeout(metadataContext{ctx, c.metadata}, timeout)
	defer cancel()
	setHeader(in, c.options.Header())
	if err := c.invoke(ctx, address, method, in, out); err != nil {
		c.handleFailure(ctx, address, name, err)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return zero, errors.Wrapf(err, "call %s of peer %s", name, address)
	}
	c.options.notifyHeader(address, any(out).(messageWithHeader).GetHeader())
	return out, nil
}

// invoke makes one call on a pooled or new connection.
func (c *Client) invoke(ctx context.Context, address string, method *method, in, out drpc.Message) error {
	// drpc starts the call before it encodes the message, so the peer would wait
	// for a message that is never sent.
	if proto.Size(in.(proto.Message)) > method.maxBytes {
		return refusedOversized
	}
	release, err := c.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer release()
	conn, ok := c.pool.Take(address)
	if !ok {
		tcp, err := c.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		conn = drpcconn.NewWithOptions(tcp, drpcconn.Options{Manager: managerOptions(0)})
	}
	if err := conn.Invoke(ctx, method.name, method.encoding, in, out); err != nil {
		// After an error the state of the connection is unknown.
		_ = conn.Close()
		return err
	}
	c.pool.Put(address, conn)
	return nil
}

// handleFailure records a refusal or a timeout and, after a timeout, closes the
// idle connections to the peer.
func (c *Client) handleFailure(ctx context.Context, address, name string, err error) {
	var r refusal
	switch {
	case errors.As(err, &r):
		c.options.Recorder.Record(eventReplyRefused, events.F("address", address),
			events.F("call", name), events.F("reason", string(r)))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		for conn, ok := c.pool.Take(address); ok; conn, ok = c.pool.Take(address) {
			_ = conn.Close()
		}
		c.options.Recorder.Record(eventCallTimeout, events.F("address", address), events.F("call", name))
	}
}

// acquire waits until another call to the peer may start; release ends the call.
// No state is kept for a peer without calls.
func (c *Client) acquire(ctx context.Context, address string) (release func(), err error) {
	c.mu.Lock()
	limiter := c.callLimiters[address]
	if limiter == nil {
		limiter = &callLimiter{semaphore: make(chan struct{}, c.options.MaxConnectionsPerPeer)}
		c.callLimiters[address] = limiter
	}
	limiter.refCount++
	c.mu.Unlock()
	dropReference := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if limiter.refCount--; limiter.refCount == 0 {
			delete(c.callLimiters, address)
		}
	}
	select {
	case limiter.semaphore <- struct{}{}:
		return func() { <-limiter.semaphore; dropReference() }, nil
	case <-ctx.Done():
		dropReference()
		return nil, ctx.Err()
	}
}

// metadataContext looks up values in metadata first, so that a call made while
// handling another call does not forward the metadata of that call.
type metadataContext struct {
	context.Context
	metadata context.Context
}

// Value implements context.Context.
func (w metadataContext) Value(key any) any {
	if v := w.metadata.Value(key); v != nil {
		return v
	}
	return w.Context.Value(key)
}
