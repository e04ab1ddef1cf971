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

// MaxReadsPerSecond is the limit on reads per second, summed over all readers.
const MaxReadsPerSecond = 2000

const (
	maxWait      = 60 * time.Second // longest wait of a long poll
	maxTreeBytes = 1 << 20          // the largest value that the service holds
	maxListBytes = 8 << 20          // largest instance list that the admin API accepts
)

// Instance is one element of the instance list.
type Instance struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	Ordinal       int    `json:"ordinal"`
}

// Faults are the injected faults of the read API. The zero value injects none.
type Faults struct {
	Down     bool   `json:"down"`     // every read is refused with 503
	FrozenAt uint64 `json:"frozenAt"` // readers see the newest tree up to this version; 0: no limit
	SlowMS   int    `json:"slowMs"`   // delay in milliseconds of every read that is not refused
}

// Counters holds the counters since the start of the stand-in.
type Counters struct {
	TreeReads     int `json:"treeReads"`
	InstanceReads int `json:"instanceReads"`
	Refused       int `json:"refused"`       // reads answered with 429
	Unavailable   int `json:"unavailable"`   // reads answered with 503 on arrival
	PeakPerSecond int `json:"peakPerSecond"` // highest number of reads in one second of the wall clock
	Pending       int `json:"pending"`       // reads that are waiting
}

type tree struct {
	version uint64
	text    []byte
}

type instanceList struct {
	revision  uint64
	instances []Instance
	visibleAt time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	lag time.Duration

	mu            sync.Mutex
	trees         []tree         // ascending versions
	lists         []instanceList // the first is visible to readers, the others become visible after the lag
	faults        Faults
	counters      Counters
	currentSecond int64
	readsInSecond int
	changed       chan struct{} // closed and replaced when waiting reads must check again
}

// New returns a stand-in that shows a change of the instance list to readers
// after lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, changed: make(chan struct{}), lists: []instanceList{{instances: []Instance{}}}}
}

// VersionError reports a tree whose version is not higher than the published
// one.
type VersionError struct{ Proposed, Published uint64 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not higher than the published version %d", e.Proposed, e.Published)
}

// Publish makes text, a JSON object with the member version, the published tree.
// It returns a *VersionError if that version is not higher than the published
// one.
func (s *Server) Publish(text []byte) error {
	var doc struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(text, &doc); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.newestTree(0); doc.Version <= last.version {
		return &VersionError{Proposed: doc.Version, Published: last.version}
	}
	s.trees = append(s.trees, tree{doc.Version, bytes.TrimSpace(text)})
	s.notifyReaders()
	return nil
}

// SetInstances replaces the instance list and raises its revision by one.
// Readers see the new list after the lag.
func (s *Server) SetInstances(instances []Instance) {
	if instances == nil {
		instances = []Instance{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.lists[len(s.lists)-1].revision + 1
	s.lists = append(s.lists, instanceList{next, instances, time.Now().Add(s.lag)})
	time.AfterFunc(s.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notifyReaders()
	})
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyReaders()
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// newestTree returns the newest tree with at most maxVersion, where 0 means no
// maximum. It returns the zero tree if there is none. The caller holds s.mu.
func (s *Server) newestTree(maxVersion uint64) tree {
	for i := len(s.trees) - 1; i >= 0; i-- {
		if maxVersion == 0 || s.trees[i].version <= maxVersion {
			return s.trees[i]
		}
	}
	return tree{}
}

// visibleList discards the lists that a newer visible one replaces and returns
// the visible list. The caller holds s.mu.
func (s *Server) visibleList() instanceList {
	for len(s.lists) > 1 && !time.Now().Before(s.lists[1].visibleAt) {
		s.lists = s.lists[1:]
	}
	return s.lists[0]
}

// notifyReaders makes waiting reads check again for a newer value. The caller
// holds s.mu.
func (s *Server) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReadHandler returns the handler of the read API.
func (s *Server) ReadHandler() http.Handler {
	e := newEcho()
	e.Use(middleware.GzipWithConfig(middleware.GzipConfig{MinLength: 1024}))
	e.GET("/v1/config/tree", func(c echo.Context) error {
		return s.serveRead(c, &s.counters.TreeReads, func(after uint64) []byte {
			t := s.newestTree(s.faults.FrozenAt)
			if t.version <= after {
				return nil
			}
			// Readers compute a digest over these bytes, and a JSON encoder
			// would change them.
			return fmt.Appendf(nil, `{"version":%d,"value":%s}`, t.version, t.text)
		})
	})
	e.GET("/v1/instances", func(c echo.Context) error {
		return s.serveRead(c, &s.counters.InstanceReads, func(after uint64) []byte {
			l := s.visibleList()
			if l.revision <= after {
				return nil
			}
			text, _ := json.Marshal(map[string]any{"revision": l.revision, "instances": l.instances})
			return text
		})
	})
	return e
}

// serveRead counts the read and replies with the result of newerThan. While that
// is nil, it waits for a change. newerThan is called with s.mu held.
func (s *Server) serveRead(c echo.Context, counter *int, newerThan func(after uint64) []byte) error {
	after, errAfter := queryUint(c, "after")
	waitMS, errWait := queryUint(c, "waitMs")
	if errAfter != nil || errWait != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after and waitMs must be whole numbers")
	}
	delay, status := s.admitRead(counter)
	if status != 0 {
		return c.NoContent(status)
	}
	ctx := c.Request().Context()
	timeout := time.After(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(delay):
	}
	s.addPending(1)
	defer s.addPending(-1)
	for {
		s.mu.Lock()
		down, text, changed := s.faults.Down, newerThan(after), s.changed
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

// admitRead counts one read. It returns the HTTP status to refuse it with, or 0
// and the injected delay if the read may proceed.
func (s *Server) admitRead(counter *int) (delay time.Duration, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.readsInSecond = now, 0
	}
	s.readsInSecond++
	s.counters.PeakPerSecond = max(s.counters.PeakPerSecond, s.readsInSecond)
	switch {
	case s.readsInSecond > MaxReadsPerSecond:
		s.counters.Refused++
		return 0, http.StatusTooManyRequests
	case s.faults.Down:
		s.counters.Unavailable++
		return 0, http.StatusServiceUnavailable
	}
	return time.Duration(s.faults.SlowMS) * time.Millisecond, 0
}

// addPending adds n to the number of waiting reads.
func (s *Server) addPending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Pending += n
}

// queryUint returns the query parameter name as a number of at most 40 bits, or
// 0 if it is absent.
func queryUint(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 40)
}

// AdminHandler returns the handler of the admin API.
func (s *Server) AdminHandler() http.Handler {
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
