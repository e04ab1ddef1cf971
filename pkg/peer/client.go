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

// Client calls peers by their address.
type Client struct {
	options  *Options
	pool     *drpcpool.Pool[string, *drpcconn.Conn]
	metadata context.Context // carries the secret
	dialer   net.Dialer

	mu    sync.Mutex
	peers map[string]*slots // peers with calls in progress
}

// slots bounds the calls in progress to one peer.
type slots struct {
	users int // guarded by Client.mu
	free  chan struct{}
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	options := o.withDefaults()
	return &Client{
		options: options,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: options.Idle, KeyCapacity: options.MaxPerPeer,
		}),
		metadata: drpcmetadata.Add(context.Background(), secretKey, options.Secret),
		peers:    map[string]*slots{},
	}
}

// Close closes the idle connections. Calls must have ended.
func (c *Client) Close() error { return c.pool.Close() }

// Exchange swaps state with the peer; at most 1 s.
func (c *Client) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return invoke(ctx, c, address, callExchange, in, new(peerpb.ExchangeResponse))
}

// Tree fetches the settings tree of the peer; at most 3 s.
func (c *Client) Tree(ctx context.Context, address string, in *peerpb.TreeRequest) (*peerpb.TreeResponse, error) {
	return invoke(ctx, c, address, callTree, in, new(peerpb.TreeResponse))
}

// Changes waits for changes of the platform's store at the peer; at most 5 s.
func (c *Client) Changes(ctx context.Context, address string, in *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	return invoke(ctx, c, address, callChanges, in, new(peerpb.ChangesResponse))
}

// Claim asks the peer to grant a key. An error says nothing about whether the
// key was granted.
func (c *Client) Claim(ctx context.Context, address string, in *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return invoke(ctx, c, address, callClaim, in, new(peerpb.ClaimResponse))
}

// Settle reports the result of a grant to the peer; at most 1 s.
func (c *Client) Settle(ctx context.Context, address string, in *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return invoke(ctx, c, address, callSettle, in, new(peerpb.SettleResponse))
}

// Handover sends one chunk of a sealed ledger to the peer; at most 3 s.
func (c *Client) Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return invoke(ctx, c, address, callHandover, in, new(peerpb.HandoverResponse))
}

// invoke sends one call. Any error leaves open whether the peer has handled
// it. The error matches ErrRefused if a message was not accepted by this side
// and context.DeadlineExceeded if the call reached its deadline.
func invoke[Out drpc.Message](ctx context.Context, c *Client, address, name string, in drpc.Message, out Out) (Out, error) {
	var none Out
	call := calls[name]
	timeout := call.timeout
	if _, ok := ctx.Deadline(); ok {
		timeout = call.longest
	}
	ctx, cancel := context.WithTimeout(withMetadata{ctx, c.metadata}, timeout)
	defer cancel()
	setHeader(in, c.options.Header())
	if err := c.invoke(ctx, address, call, in, out); err != nil {
		c.failed(ctx, address, name, err)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return none, errors.Wrapf(err, "call %s of peer %s", name, address)
	}
	c.options.seen(address, any(out).(headed).GetHeader())
	return out, nil
}

func (c *Client) invoke(ctx context.Context, address string, call *call, in, out drpc.Message) error {
	// drpc would open the call before it encodes the message, and the peer
	// would wait for the rest of it.
	if proto.Size(in.(proto.Message)) > call.maxBytes {
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
	if err := conn.Invoke(ctx, call.name, call.encoding, in, out); err != nil {
		// After an error the state of the connection is not known.
		_ = conn.Close()
		return err
	}
	c.pool.Put(address, conn)
	return nil
}

// failed records why a call failed and, after a timeout, closes the idle
// connections to the peer.
func (c *Client) failed(ctx context.Context, address, name string, err error) {
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

// acquire waits for one of the peer's slots. Peers without a call in progress
// take no memory.
func (c *Client) acquire(ctx context.Context, address string) (release func(), err error) {
	c.mu.Lock()
	s := c.peers[address]
	if s == nil {
		s = &slots{free: make(chan struct{}, c.options.MaxPerPeer)}
		c.peers[address] = s
	}
	s.users++
	c.mu.Unlock()
	leave := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.users--; s.users == 0 {
			delete(c.peers, address)
		}
	}
	select {
	case s.free <- struct{}{}:
		return func() { <-s.free; leave() }, nil
	case <-ctx.Done():
		leave()
		return nil, ctx.Err()
	}
}

// withMetadata answers from metadata first, so that a call made while handling
// another does not pass on that call's metadata.
type withMetadata struct {
	context.Context
	metadata context.Context
}

// Value implements context.Context.
func (w withMetadata) Value(key any) any {
	if v := w.metadata.Value(key); v != nil {
		return v
	}
	return w.Context.Value(key)
}
