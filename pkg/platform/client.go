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
	"lentilpin/pkg/framing"
)

// Durations of one call.
const (
	maxPollWait  = 25 * time.Second // wait after which the service replies that nothing has changed
	replyTimeout = 5 * time.Second  // timeout of a call, in addition to its wait
)

// maxInstanceListBytes bounds the instance list. 16,000 instances of about 200
// bytes each take 3.2 MB; the rest is margin.
const maxInstanceListBytes = 4 << 20

// Errors of the methods of Client.
var (
	ErrUnchanged   = errors.New("no newer value")
	ErrTooLarge    = errors.New("the value is larger than the limit")
	ErrRateLimited = errors.New("refused by the rate limit of the platform")
)

// Values of Instance.Kind and Instance.State.
const (
	KindEntry    = "entry"
	KindBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"

	// KindFailureDomain with StateEvacuated says that a failure domain is evacuated: its
	// backend servers get no requests.
	KindFailureDomain = "failure_domain"
	StateEvacuated    = "evacuated"
)

// Instance is one member of the instance list: an entry, a backend server or an evacuated
// failure domain.
type Instance struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`              // entry or backend
	Service       string `json:"service,omitempty"` // of a backend server
	Address       string `json:"address"`           // IP:port; the peer listener of an entry
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"` // live or leaving
	Ordinal       int    `json:"ordinal"`
	// ID identifies a backend server; it is empty if the platform gives none. Any
	// other backend server refuses a request that expects this ID.
	ID string `json:"id,omitempty"`
	// Start changes when a backend server restarts under the same ID.
	Start string `json:"start,omitempty"`
	// WarmupRemaining is the remaining warm-up time of a backend server.
	WarmupRemaining time.Duration `json:"-"`
}

// Client reads the settings tree and the instance list from the platform. It is
// safe for concurrent use, but only one goroutine should read the tree and one
// the instance list, because calls of one kind share a pacer.
type Client struct {
	baseURL       string
	maxTreeBytes  int
	recorder      events.Recorder
	http          *http.Client
	treePacer     *pacer
	instancePacer *pacer
}

// NewClient returns a client of the platform at baseURL, for example
// http://127.0.0.1:7000. Reads of a tree larger than maxTreeBytes return
// ErrTooLarge.
func NewClient(baseURL string, maxTreeBytes int, recorder events.Recorder) *Client {
	return &Client{
		baseURL: baseURL, maxTreeBytes: maxTreeBytes, recorder: recorder,
		http:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4}},
		treePacer:     newPacer(),
		instancePacer: newPacer(),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WatchTree waits until the configuration service has a tree with a version
// above after and returns its version and text. It returns ErrUnchanged if the
// service replied that it has no newer tree, ErrTooLarge or ErrRateLimited, or
// another error if the call failed or the context ended. Endpoint: GET
// /v1/config/tree?after=N&waitMs=M.
func (c *Client) WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	return c.readTree(ctx, after, maxPollWait)
}

// ReadTree is like WatchTree, but the service replies at once. Callers use it to
// confirm that a version is the newest. Endpoint: GET
// /v1/config/tree?after=N&waitMs=0.
func (c *Client) ReadTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	return c.readTree(ctx, after, 0)
}

func (c *Client) readTree(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, error) {
	var reply struct {
		Version uint64          `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	// The envelope adds a few bytes to the value.
	if err := c.read(ctx, c.treePacer, "/v1/config/tree", after, wait, c.maxTreeBytes+256, &reply); err != nil {
		return 0, nil, err
	}
	if len(reply.Value) > c.maxTreeBytes {
		return 0, nil, c.recordFailure(c.treePacer, "/v1/config/tree", errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(reply.Value), c.maxTreeBytes))
	}
	return reply.Version, reply.Value, nil
}

// WatchInstances waits until the instance list has a revision above after and
// returns the revision and the list. It returns the same errors as WatchTree.
// Endpoint: GET /v1/instances?after=N&waitMs=M.
func (c *Client) WatchInstances(ctx context.Context, after uint64) (revision uint64, list []Instance, err error) {
	var reply struct {
		Revision  uint64     `json:"revision"`
		Instances []Instance `json:"instances"`
	}
	if err := c.read(ctx, c.instancePacer, "/v1/instances", after, maxPollWait, maxInstanceListBytes, &reply); err != nil {
		return 0, nil, err
	}
	return reply.Revision, reply.Instances, nil
}

func (c *Client) read(ctx context.Context, p *pacer, path string, after uint64, wait time.Duration, maxBytes int, reply any) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	err := c.call(ctx, path, after, wait, maxBytes, reply)
	switch {
	case err == nil:
		p.onChange()
	case errors.Is(err, ErrUnchanged):
		p.onUnchanged()
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return c.recordFailure(p, path, err)
	}
	if p.clearFailures() {
		c.recorder.Record(eventReachable, events.F("path", path))
	}
	return err
}

// recordFailure sets the delay before the next call, records the events of a
// failed call and returns err.
func (c *Client) recordFailure(p *pacer, path string, err error) error {
	if errors.Is(err, ErrRateLimited) {
		c.recorder.Record(eventRateRefused, events.F("path", path))
	}
	if p.onFailure() {
		c.recorder.Record(eventUnreachable, events.F("path", path), events.F("error", err.Error()))
	}
	return err
}

func (c *Client) call(ctx context.Context, path string, after uint64, wait time.Duration, maxBytes int, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	url := fmt.Sprintf("%s%s?after=%d&waitMs=%d", c.baseURL, path, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	if err := framing.CheckResponse(resp); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusTooManyRequests:
		return ErrRateLimited
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
	if err := json.Unmarshal(body, reply); err != nil {
		return errors.Wrap(err, "parse reply")
	}
	return nil
}
