package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing/server"
)

// Guards against a few short responses after the start that stand for the latency
// of a service: questions for loads would stop, because many short requests seem
// to be in progress. On the grown sites an entry that got one response after 11 ms
// asked before every sixth decision only.
func TestMeanLatencyNeedsSamples(t *testing.T) {
	shared := server.NewShared(time.Second)
	s := server.New(server.Backend{Address: "a"}, true, shared, 1)
	end := func(latency time.Duration) {
		require.True(t, s.Begin())
		s.End(0, latency, server.Success)
	}
	end(10 * time.Millisecond)
	require.Zero(t, shared.MeanLatency())
	for range 19 {
		end(400 * time.Millisecond)
	}
	require.InDelta(t, 380*time.Millisecond, shared.MeanLatency(), float64(2*time.Millisecond))
}
