package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/limit"
	"lentilpin/pkg/routing"
)

const ms = time.Millisecond

func record(c *limit.Concurrency, n int, latency time.Duration, o routing.Outcome) int32 {
	for range n {
		c.Record(latency, o)
	}
	return c.Limit()
}

// Guards against a limit of 0, which would never recover, and against a limit above
// the connection share, which would exceed the connections allowed for the backend
// server.
func TestConcurrencyBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLimit := rapid.Int32Range(-1, 20).Draw(t, "max")
		c := limit.NewConcurrency(maxLimit)
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				c.Record(time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "latency")), routing.Outcome(rapid.Uint8Range(0, 5).Draw(t, "outcome")))
			},
			"max": func(t *rapid.T) {
				maxLimit = rapid.Int32Range(-1, 20).Draw(t, "max")
				c.SetMax(maxLimit)
			},
			"": func(t *rapid.T) {
				if l := c.Limit(); l < 1 || l > max(1, maxLimit) {
					t.Fatalf("limit %d outside 1..%d", l, max(1, maxLimit))
				}
			},
		})
	})
}

// Guards against a limit that ignores an overload signal, decreases more than once
// for one overload, or never recovers.
func TestConcurrencySignals(t *testing.T) {
	newWithHistory := func() *limit.Concurrency {
		c := limit.NewConcurrency(20)
		record(c, 100, 10*ms, routing.Success)
		return c
	}
	tests := []struct {
		desc     string
		apply    func(c *limit.Concurrency) int32
		min, max int32
	}{
		{"steady latency keeps the share", func(c *limit.Concurrency) int32 { return record(c, 500, 10*ms, routing.Success) }, 20, 20},
		{"latency growth decreases", func(c *limit.Concurrency) int32 { return record(c, 100, 50*ms, routing.Success) }, 8, 18},
		{"a shed decreases", func(c *limit.Concurrency) int32 { return record(c, 1, ms, routing.Shed) }, 15, 15},
		{"20 sheds at once are one event", func(c *limit.Concurrency) int32 { return record(c, 20, ms, routing.Shed) }, 15, 15},
		{"repeated sheds decrease to 1", func(c *limit.Concurrency) int32 { return record(c, 500, ms, routing.Shed) }, 1, 1},
		{"a timeout halves", func(c *limit.Concurrency) int32 { return record(c, 1, time.Second, routing.Timeout) }, 10, 10},
		{"a broken connection halves", func(c *limit.Concurrency) int32 { return record(c, 1, ms, routing.Broken) }, 10, 10},
		{"slow canceled attempts decrease", func(c *limit.Concurrency) int32 { return record(c, 100, 50*ms, routing.Canceled) }, 1, 18},
		{"short canceled attempts are ignored", func(c *limit.Concurrency) int32 { return record(c, 100, ms, routing.Canceled) }, 20, 20},
		{"recovers after sheds", func(c *limit.Concurrency) int32 {
			record(c, 500, ms, routing.Shed)
			return record(c, 400, 10*ms, routing.Success)
		}, 20, 20},
		{"recovers if the latency remains higher", func(c *limit.Concurrency) int32 { return record(c, 3000, 50*ms, routing.Success) }, 20, 20},
		{"fast errors do not lower the minimum", func(c *limit.Concurrency) int32 {
			record(c, 100, 100*time.Microsecond, routing.ErrorResponse)
			return record(c, 200, 10*ms, routing.Success)
		}, 20, 20},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			got := tc.apply(newWithHistory())
			require.GreaterOrEqual(t, got, tc.min)
			require.LessOrEqual(t, got, tc.max)
		})
	}
}

func BenchmarkConcurrencyRecord(b *testing.B) {
	c := limit.NewConcurrency(6)
	b.ReportAllocs()
	for b.Loop() {
		c.Record(10*ms, routing.Success)
	}
}
