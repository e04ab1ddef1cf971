package gateway

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

const (
	// initialBodyBytes is the capacity for a body of unknown length, which then doubles.
	initialBodyBytes = 512
	// smallBodyBytes is the size of bodies up to which they need no part of the memory for
	// bodies, so that small requests do not wait behind uploads.
	smallBodyBytes = 16 << 10
	// bodyMemoryShare is the share of the remaining time for which a request waits for
	// memory: its body has still to arrive.
	bodyMemoryShare = 0.5
)

var errNoBodyMemory = errors.New("the bodies of other requests hold the memory for bodies")

// holdBody reads a body into memory that is taken from that for the bodies of all
// requests. The body is held once, but while one of unknown length grows.
func (c *call) holdBody(body io.Reader, limit int64) ([]byte, error) {
	if n := c.r.ContentLength; n >= 0 {
		if err := c.raiseBodyMemory(n); err != nil {
			return nil, err
		}
		out := make([]byte, n)
		_, err := io.ReadFull(body, out)
		return out, err
	}
	out := make([]byte, 0, initialBodyBytes)
	for {
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, err
		case len(out) < cap(out):
			continue
		}
		next := min(2*int64(cap(out)), max(limit, int64(cap(out)))+1)
		needed := next
		if c.bodyMemory == 0 && next > smallBodyBytes {
			needed = max(next, c.g.bodyMemory.Share())
		}
		if err := c.raiseBodyMemory(needed); err != nil {
			return nil, err
		}
		out = append(make([]byte, 0, next), out...)
	}
}

// raiseBodyMemory raises the memory that the request holds to n bytes, unless its body is
// small. It waits for them for a share of the remaining time. The error is errNoBodyMemory.
func (c *call) raiseBodyMemory(n int64) (err error) {
	if n <= smallBodyBytes || n <= c.bodyMemory {
		return nil
	}
	wait := time.Duration(bodyMemoryShare * float64(time.Until(c.deadline)))
	ctx, cancel := context.WithTimeout(c.r.Context(), wait)
	defer cancel()
	if c.bodyMemory > 0 {
		c.bodyMemory, err = c.g.bodyMemory.Grow(ctx, c.bodyMemory, n)
	} else if n, err = c.g.bodyMemory.Take(ctx, n); err == nil {
		c.bodyMemory = n
	}
	if err != nil {
		return errNoBodyMemory
	}
	return nil
}

// releaseBodyMemory must be called at the end of each request.
func (c *call) releaseBodyMemory() {
	if c.bodyMemory > 0 {
		c.g.bodyMemory.Release(c.bodyMemory)
	}
}
