package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

// Guards against a policy that ignores the headroom of less urgent requests, and against
// headroom that changes the decisions of the most urgent ones.
func TestPriorityPickWithHeadroom(t *testing.T) {
	for _, policy := range []string{"lentilpin", "fresh", "random"} {
		t.Run(policy, func(t *testing.T) {
			tree, err := dynamic.Parse([]byte(`{"version": 1, "regions": {"r": {"services": {"s": {"routing": {"policy": "` + policy + `"}}}}}}`))
			require.NoError(t, err)
			set, err := routing.NewSet(routing.Options{Service: "s", Settings: &tree.Lookup("r", "s").Service})
			require.NoError(t, err)
			set.Update(0, []routing.Backend{{Address: "a"}})
			server := set.Servers()[0]
			now := time.Second
			require.NotNil(t, set.PickWithHeadroom(now, nil, 0.7), "no load is known")
			server.RecordReport(now, routing.Report{Inflight: 6, Queued: 4, Slots: 6, Slowdown: 1}, 0)
			require.Nil(t, set.PickWithHeadroom(now, nil, 0.7))
			require.NotNil(t, set.PickWithHeadroom(now, nil, 0))
			server.RecordReport(now, routing.Report{Inflight: 2, Slots: 6, Slowdown: 1}, 0)
			require.NotNil(t, set.PickWithHeadroom(now, nil, 0.7))
			require.InDelta(t, 1, set.MeanOccupancy(), 0.5)
		})
	}
}
