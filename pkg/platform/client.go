package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
)

// Times of one call.
const (
	pollWait  = 25 * time.Second // the service replies after this where nothing changed
	replyTime = 5 * time.Second  // for one call, in addition to its wait
)

// listMaxBytes bounds the instance list: 16,000 instances of about 200 bytes
// with some room.
const listMaxBytes = 4 << 20

// Errors of the client.
var (
	ErrUnchanged = errors.New("nothing newer")
	ErrTooLarge  = errors.New("the value is larger than the limit")
	ErrRefused   = errors.New("refused by the rate limit of the platform")
)

// Values of Instance.
const (
	KindEntry    = "entry"
	KindBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one line of the instance list.
type Instance struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`              // entry or backend
	Service       string `json:"service,omitempty"` // of a backend server
	Address       string `json:"address"`           // IP:port; of an entry its peer listener
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"` // live or leaving
	Ordinal       int    `json:"ordinal"`
	// ID identifies this start of a backend server; empty if not stated. A
	// request that expects it is refused by any other backend server.
	ID string `json:"id,omitempty"`
	// Start tells the starts of a backend server under one ID apart.
	Start string `json:"start,omitempty"`
	// ColdFor is how much longer a backend server is slow after its start.
	ColdFor time.Duration `json:"-"`
}

// Client reads from the platform. It is safe for concurrent use, but each of
// its two methods is meant for one caller.
type Client struct {
	base      string
	maxBytes  int
	rec       events.Recorder
	http      *http.Client
	tree      *pacer
	instances *pacer
}

// NewClient returns a client of the platform at base, for example
// http://127.0.0.1:7000. A tree above maxBytes is refused.
func NewClient(base string, maxBytes int, rec events.Recorder) *Client {
	return &Client{
		base: base, maxBytes: maxBytes, rec: rec,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4}},
		tree:      newPacer(),
		instances: newPacer(),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WatchTree waits until the configuration service has a tree above version
// after and returns its version and text. It returns ErrUnchanged where the
// service replied that it has none; any other error says that it did not
// reply as it should. Source: GET /v1/config/tree?after=N&waitMs=M.
func (c *Client) WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	return c.readTree(ctx, after, pollWait)
}

// ReadTree is WatchTree without the wait: the reply comes at once. It serves
// to confirm a version. Source: GET /v1/config/tree?after=N&waitMs=0.
func (c *Client) ReadTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	return c.readTree(ctx, after, 0)
}

func (c *Client) readTree(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, error) {
	var reply struct {
		Version uint64          `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	// The envelope adds a few bytes to the value.
	if err := c.read(ctx, c.tree, "/v1/config/tree", after, wait, c.maxBytes+256, &reply); err != nil {
		return 0, nil, err
	}
	if len(reply.Value) > c.maxBytes {
		return 0, nil, c.failed(c.tree, "/v1/config/tree", errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(reply.Value), c.maxBytes))
	}
	return reply.Version, reply.Value, nil
}

// WatchInstances waits until the instance list has a revision above after and
// returns it. Errors are those of WatchTree. Source: GET
// /v1/instances?after=N&waitMs=M.
func (c *Client) WatchInstances(ctx context.Context, after uint64) (revision uint64, list []Instance, err error) {
	var reply struct {
		Revision  uint64     `json:"revision"`
		Instances []Instance `json:"instances"`
	}
	if err := c.read(ctx, c.instances, "/v1/instances", after, pollWait, listMaxBytes, &reply); err != nil {
		return 0, nil, err
	}
	return reply.Revision, reply.Instances, nil
}

func (c *Client) read(ctx context.Context, p *pacer, path string, after uint64, wait time.Duration, maxBytes int, into any) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	err := c.call(ctx, path, after, wait, maxBytes, into)
	switch {
	case err == nil:
		p.changed()
	case errors.Is(err, ErrUnchanged):
		p.unchanged()
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return c.failed(p, path, err)
	}
	if p.recover() {
		c.rec.Record(eventReachable, events.F("path", path))
	}
	return err
}

func (c *Client) failed(p *pacer, path string, err error) error {
	if errors.Is(err, ErrRefused) {
		c.rec.Record(eventRefused, events.F("path", path))
	}
	if p.fail() {
		c.rec.Record(eventUnreachable, events.F("path", path), events.F("error", err.Error()))
	}
	return err
}

func (c *Client) call(ctx context.Context, path string, after uint64, wait time.Duration, maxBytes int, into any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTime)
	defer cancel()
	url := fmt.Sprintf("%s%s?after=%d&waitMs=%d", c.base, path, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusTooManyRequests:
		return ErrRefused
	default:
		return errors.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if len(body) > maxBytes {
		return errors.Wrapf(ErrTooLarge, "limit %d bytes", maxBytes)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "parse reply")
	}
	return nil
}
