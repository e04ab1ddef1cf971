package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing/server"
)

// Guards against a mean latency taken from a few short responses after the start.
// The service would seem to handle many short requests, and load queries would
// become rare: after a single response with a latency of 11 ms, an entry queried
// load before only one decision in six.
func TestMeanLatencyNeedsSamples(t *testing.T) {
	stats := server.NewServiceStats(time.Second)
	s := server.New(server.Backend{Address: "a"}, true, stats, 1)
	end := func(latency time.Duration) {
		require.True(t, s.BeginAttempt())
		s.EndAttempt(0, latency, server.Success)
	}
	end(10 * time.Millisecond)
	require.Zero(t, stats.MeanLatency())
	for range 19 {
		end(400 * time.Millisecond)
	}
	require.InDelta(t, 380*time.Millisecond, stats.MeanLatency(), float64(2*time.Millisecond))
}

// Guards against a confidence that is not a number after attempts without latency.
// No cost was then lowest, so that the policy lentilpin selected no backend server.
func TestReportConfidenceWithoutLatency(t *testing.T) {
	stats := server.NewServiceStats(time.Second)
	s := server.New(server.Backend{Address: "a"}, true, stats, 1)
	for range 3 {
		require.True(t, s.BeginAttempt())
		s.RecordPredictedWait(0, 0)
		s.EndAttempt(0, 0, server.Success)
		require.InDelta(t, 0.5, stats.ReportConfidence(), 0.5)
	}
}
