package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// CallsPerSecond is the limit over all readers.
const CallsPerSecond = 2000

// Bounds of the stand-in.
const (
	maxWait      = 60 * time.Second
	maxTreeBytes = 1 << 20 // the largest value the service holds
	maxListBytes = 8 << 20
)

// Instance is one line of the instance list.
type Instance struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	Ordinal       int    `json:"ordinal"`
}

// Faults are the failures that the read side shows.
type Faults struct {
	Down     bool   `json:"down"`     // every read is refused with 503
	FrozenAt uint64 `json:"frozenAt"` // readers see the newest tree up to this version; 0: no limit
	SlowMS   int    `json:"slowMs"`   // delay of every reply
}

// Counters are what the stand-in counted since its start.
type Counters struct {
	TreeReads     int `json:"treeReads"`
	InstanceReads int `json:"instanceReads"`
	Refused       int `json:"refused"`       // with 429
	Unavailable   int `json:"unavailable"`   // with 503
	Peak          int `json:"peakPerSecond"` // most reads within one second of the wall clock
	Pending       int `json:"pending"`       // reads that wait now
}

type tree struct {
	version uint64
	text    []byte
}

type list struct {
	revision  uint64
	instances []Instance
	visibleAt time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	lag time.Duration

	mu       sync.Mutex
	trees    []tree // ascending versions
	lists    []list // the first is visible to readers, the others wait for the lag
	faults   Faults
	counters Counters
	second   int64
	inSecond int
	changed  chan struct{} // closed and replaced at each change
}

// New returns a stand-in whose instance list reaches readers after lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, changed: make(chan struct{}), lists: []list{{instances: []Instance{}}}}
}

// ErrVersion says that a published version is not higher than the last one.
type ErrVersion struct{ Stated, Published uint64 }

// Error implements error.
func (e *ErrVersion) Error() string {
	return fmt.Sprintf("version %d is not higher than the published version %d", e.Stated, e.Published)
}

// Publish makes text the published tree. The version is the one that the tree
// states; the error is an *ErrVersion where it is not higher than the last.
func (s *Server) Publish(text []byte) error {
	var doc struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(text, &doc); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.newest(0); doc.Version <= last.version {
		return &ErrVersion{Stated: doc.Version, Published: last.version}
	}
	s.trees = append(s.trees, tree{doc.Version, bytes.TrimSpace(text)})
	s.wake()
	return nil
}

// SetInstances replaces the instance list; readers see it after the lag.
func (s *Server) SetInstances(instances []Instance) {
	if instances == nil {
		instances = []Instance{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.lists[len(s.lists)-1].revision + 1
	s.lists = append(s.lists, list{next, instances, time.Now().Add(s.lag)})
	time.AfterFunc(s.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wake()
	})
}

// SetFaults replaces the failures that readers see.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// newest returns the newest tree up to version limit; 0 stands for no limit.
func (s *Server) newest(limit uint64) tree {
	for i := len(s.trees) - 1; i >= 0; i-- {
		if limit == 0 || s.trees[i].version <= limit {
			return s.trees[i]
		}
	}
	return tree{}
}

func (s *Server) visible() list {
	for len(s.lists) > 1 && !time.Now().Before(s.lists[1].visibleAt) {
		s.lists = s.lists[1:]
	}
	return s.lists[0]
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reader returns the handler of the read side.
func (s *Server) Reader() http.Handler {
	e := newEcho()
	e.Use(middleware.GzipWithConfig(middleware.GzipConfig{MinLength: 1024}))
	e.GET("/v1/config/tree", func(c echo.Context) error {
		return s.read(c, &s.counters.TreeReads, func(after uint64) []byte {
			t := s.newest(s.faults.FrozenAt)
			if t.version <= after {
				return nil
			}
			// Concatenated, because an encoder would change the bytes that
			// readers take the digest of.
			return fmt.Appendf(nil, `{"version":%d,"value":%s}`, t.version, t.text)
		})
	})
	e.GET("/v1/instances", func(c echo.Context) error {
		return s.read(c, &s.counters.InstanceReads, func(after uint64) []byte {
			l := s.visible()
			if l.revision <= after {
				return nil
			}
			text, _ := json.Marshal(map[string]any{"revision": l.revision, "instances": l.instances})
			return text
		})
	})
	return e
}

// read counts the call and replies with value, waiting for one if it is nil.
// value is called with the lock held.
func (s *Server) read(c echo.Context, counter *int, value func(after uint64) []byte) error {
	after, err1 := number(c, "after")
	waitMS, err2 := number(c, "waitMs")
	if err1 != nil || err2 != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after and waitMs must be whole numbers")
	}
	slow, status := s.admit(counter)
	if status != 0 {
		return c.NoContent(status)
	}
	ctx := c.Request().Context()
	timeout := time.After(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(slow):
	}
	s.pending(1)
	defer s.pending(-1)
	for {
		s.mu.Lock()
		down, text, changed := s.faults.Down, value(after), s.changed
		s.mu.Unlock()
		switch {
		case down:
			return c.NoContent(http.StatusServiceUnavailable)
		case text != nil:
			return c.JSONBlob(http.StatusOK, text)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timeout:
			return c.NoContent(http.StatusNotModified)
		case <-changed:
		}
	}
}

// admit counts one read. The status is 0 where the read may go on.
func (s *Server) admit(counter *int) (slow time.Duration, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	s.counters.Peak = max(s.counters.Peak, s.inSecond)
	switch {
	case s.inSecond > CallsPerSecond:
		s.counters.Refused++
		return 0, http.StatusTooManyRequests
	case s.faults.Down:
		s.counters.Unavailable++
		return 0, http.StatusServiceUnavailable
	}
	return time.Duration(s.faults.SlowMS) * time.Millisecond, 0
}

func (s *Server) pending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Pending += n
}

func number(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 40)
}

// Admin returns the handler of the admin side.
func (s *Server) Admin() http.Handler {
	e := newEcho()
	e.PUT("/tree", func(c echo.Context) error {
		text, err := io.ReadAll(io.LimitReader(c.Request().Body, maxTreeBytes+1))
		if err != nil {
			return err
		}
		if len(text) > maxTreeBytes {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("a value holds at most %d bytes", maxTreeBytes))
		}
		if err := s.Publish(text); err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.PUT("/instances", func(c echo.Context) error {
		var instances []Instance
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxListBytes)).Decode(&instances); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		s.SetInstances(instances)
		return c.NoContent(http.StatusNoContent)
	})
	e.PUT("/faults", func(c echo.Context) error {
		var f Faults
		if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/counters", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counters()) })
	return e
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}
