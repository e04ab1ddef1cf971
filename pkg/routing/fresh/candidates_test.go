package fresh_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing/server"
)

// Guards against work that leaves its failure domain although backend servers there are
// idle, and against candidates that follow anything but the requests of the instance. The
// load: an instance with more requests than its eight usual candidates can run, with 40
// backend servers in its own failure domain and 20 in others.
func TestCandidatesFollowOwnRequests(t *testing.T) {
	const local, remote, usual = 40, 20, 8
	for _, tt := range []struct {
		desc         string
		ownPerServer int   // own attempts in flight at each usual candidate
		running      int32 // reported by each usual candidate
		want         int   // candidates of the own failure domain
	}{
		{"few requests of its own, candidates full", 2, 6, 8},
		{"many requests of its own, candidates with room", 5, 1, 8},
		{"many requests of its own, candidates full", 3, 6, 12},
		{"more requests of its own", 5, 6, 20},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(local, remote)
			for i := range usual {
				for range tt.ownPerServer {
					require.True(t, f.servers[i].BeginAttempt())
				}
				f.report(i, 1, tt.running, 0)
			}
			found := map[*server.Server]bool{}
			for range 500 {
				for _, s := range f.loadQueryTargets(server.SecondLocalRound) {
					found[s] = true
				}
			}
			for i, s := range f.servers {
				if i >= usual {
					require.Equal(t, i < tt.want, found[s], "backend server %d is queried", i)
				}
			}
			if tt.want > usual {
				f.report(tt.want-1, 1, 0, 0)
				require.Empty(t, f.loadQueryTargets(server.RemoteRound), "the own failure domain has room")
				require.Same(t, f.servers[tt.want-1], f.choose())
			}
			for i := range usual {
				for range tt.ownPerServer {
					f.servers[i].EndAttempt(now, 0, server.Canceled)
				}
			}
			clear(found)
			for range 500 {
				for _, s := range f.loadQueryTargets(server.LocalRound) {
					found[s] = true
				}
			}
			for _, s := range f.servers[usual:] {
				require.False(t, found[s], "a backend server beyond the usual candidates is queried without requests in flight")
			}
		})
	}
}
