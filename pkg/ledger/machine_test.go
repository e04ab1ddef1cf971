package ledger

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lentilpin/pkg/peer/peerpb"
)

func TestMain(m *testing.M) {
	// A path through claim, handover and replacement is long, and steps that
	// cannot be taken count as well: 300 gives about 58 steps a run. Flags of
	// the command line still win.
	_ = flag.Set("rapid.steps", "300")
	_ = flag.Set("rapid.checks", "2000")
	goleak.VerifyTestMain(m)
}

func draw[V any](t *rapid.T, label string, values ...V) V {
	if len(values) == 0 {
		t.Skip("no " + label)
	}
	return rapid.SampledFrom(values).Draw(t, label)
}

// machine draws the steps of a world.
type machine struct {
	*world
	keys []string // issued
}

func (m *machine) issue(t *rapid.T) {
	m.keys = append(m.keys, draw(t, "owner", m.nodes...).Issue(time.Duration(draw(t, "seconds", 1, 5, 60, 600))*time.Second))
}

// key prefers recent keys, whose owners are likely to live.
func (m *machine) key(t *rapid.T) string { return draw(t, "key", m.keys[max(0, len(m.keys)-12):]...) }

func (m *machine) drawClaim(t *rapid.T) {
	m.claim(draw(t, "node", m.nodes...), m.key(t), draw(t, "content", "1", "1", "1", "2"))
}

func (m *machine) drawDispatch(t *rapid.T) {
	run := draw(t, "result", peerpb.Run_RUN_RAN, peerpb.Run_RUN_NOT_RUN, peerpb.Run_RUN_UNKNOWN)
	m.dispatch(draw(t, "grant", m.held...), run, rapid.Bool().Draw(t, "reached"))
}

func (m *machine) drawSettle(t *rapid.T) { m.settle(draw(t, "grant", m.held...)) }

func (m *machine) handOver(t *rapid.T) {
	from, to := draw(t, "owner", m.nodes...), draw(t, "successor", m.nodes...)
	if from == to {
		t.Skip("same node")
	}
	incarnation, i := from.options.Incarnation, m.index(from.address)
	err := from.HandOver(context.Background(), from, to.address)
	m.seen[fmt.Sprintf("handover %t", err == nil)]++
	if err == nil || rapid.Bool().Draw(t, "announce a failed handover") {
		m.successors[incarnation] = to.address
	}
	if m.nodes[i] == from && rapid.Bool().Draw(t, "replace") {
		m.start(i, OwnerOptions{})
	}
}

func (m *machine) disrupt(t *rapid.T) {
	switch draw(t, "kind", "hand over", "hand over", "seal", "kill", "kill", "wrong successor") {
	case "hand over":
		m.handOver(t)
	case "seal":
		draw(t, "node", m.nodes...).Seal()
	case "kill":
		m.start(rapid.IntRange(0, 2).Draw(t, "node"), OwnerOptions{})
	case "wrong successor":
		m.successors[draw(t, "node", m.nodes...).options.Incarnation] = draw(t, "successor", m.nodes...).address
	}
}

func (m *machine) forge(t *rapid.T) {
	key := m.key(t)
	k, _ := m.ring.verify(key)
	i := rapid.IntRange(0, len(key)-1).Draw(t, "position")
	forged := key[:i]
	switch draw(t, "change", "character", "short", "line break", "only line breaks", "sequence", "expiry") {
	case "character":
		forged += string(key[i]^1) + key[i+1:]
	case "line break":
		forged += "\n" + key[i+1:]
	case "only line breaks":
		forged = strings.Repeat("\n", len(key))
	case "sequence":
		k.sequence++
		forged = NewKeyring([]string{"guess"}).sign(&k)
	case "expiry": // with the code of the key as it was
		k.expires += 1 << 16 // leaves the last two bytes of the expiry, which the tail below holds, as they are
		changed := m.ring.sign(&k)
		forged = changed[:len(key)-24] + key[len(key)-24:]
	}
	require.Equal(t, StateNotIssued, m.claim(draw(t, "node", m.nodes...), forged, "1").State)
}

func (m *machine) moveClocks(t *rapid.T) {
	d := time.Duration(draw(t, "ms", 1, 100, 1000, 1999, 2000, 2001, 20_000)) * time.Millisecond
	n := draw(t, "node", m.nodes...)
	switch draw(t, "kind", "all", "one", "suspend", "wall back", "wall forward") {
	case "all":
		m.advance(d)
	case "one":
		n.advance(d)
	case "suspend":
		n.clock.Suspend(d)
		n.elapsed += d
	case "wall back":
		n.clock.SetWall(n.clock.Read().Wall.Add(-d))
	case "wall forward":
		n.clock.SetWall(n.clock.Read().Wall.Add(d))
	}
}

func (m *machine) deliverLate(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("no late message")
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "message")
	deliver := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	deliver()
}

// Guards against a second grant or run of a key, against "not run" stated for
// a key that runs, and against a replay that belongs to another request, under
// every failure that the ledger has to bear.
func TestAtMostOnce(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		fate := func() string {
			return draw(t, "fate", "ok", "ok", "ok", "slow", "lost", "late", "reply lost", "repeated")
		}
		m := &machine{world: newWorld(t, OwnerOptions{MaxClaims: 4, MaxReplayBytes: 20}, fate)}
		m.seen = seen
		m.beforeChunk = func(to *node) {
			if len(m.keys) > 0 && rapid.IntRange(0, 5).Draw(t, "replace the successor") == 0 {
				m.claim(to, m.key(t), "1")
				m.start(m.index(to.address), OwnerOptions{})
			}
		}
		// Ordinary work is repeated under several names, so that most steps
		// are ordinary and a deployment lives long enough to get somewhere.
		t.Repeat(map[string]func(*rapid.T){
			"issue 1": m.issue, "issue 2": m.issue, "issue 3": m.issue,
			"claim 1": m.drawClaim, "claim 2": m.drawClaim, "claim 3": m.drawClaim, "claim 4": m.drawClaim, "claim 5": m.drawClaim,
			"dispatch 1": m.drawDispatch, "dispatch 2": m.drawDispatch, "dispatch 3": m.drawDispatch,
			"settle 1": m.drawSettle, "settle 2": m.drawSettle,
			"disrupt": m.disrupt, "forge": m.forge, "clocks": m.moveClocks, "late message": m.deliverLate,
			"": func(t *rapid.T) {
				m.seen["step"]++
				for _, n := range m.nodes {
					n.checkSizes(t)
				}
			},
		})
	})
	t.Log(seen)
	// A state or failure that never came up would make the proof empty.
	want := []string{
		"message lost", "message late", "message reply lost", "message repeated", "message slow", "replay",
		"dispatch on an ended grant", "handover true", "handover false", "granted by a successor",
	}
	for _, s := range stateTexts {
		want = append(want, "state "+s.reason)
	}
	for _, what := range want {
		require.NotZero(t, seen[what], what)
	}
}
