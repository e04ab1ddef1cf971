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
	// A sequence of claim, handover and replacement needs many steps, and skipped
	// steps count towards rapid.steps: 300 gives about 58 executed steps per run.
	// Command-line flags override these values.
	_ = flag.Set("rapid.steps", "300")
	_ = flag.Set("rapid.checks", "2000")
	goleak.VerifyTestMain(m)
}

// draw returns one of the values, or skips the step if there is none.
func draw[V any](t *rapid.T, label string, values ...V) V {
	if len(values) == 0 {
		t.Skip("no " + label)
	}
	return rapid.SampledFrom(values).Draw(t, label)
}

// machine is the state machine of the rapid test. It draws random operations and
// failures of a fleet.
type machine struct {
	*fleet
	keys []string // all issued keys
}

func (m *machine) drawIssue(t *rapid.T) {
	m.keys = append(m.keys, draw(t, "owner", m.instances...).Issue(time.Duration(draw(t, "seconds", 1, 5, 60, 600))*time.Second))
}

// key returns one of the twelve most recent keys, whose owners are likely to be
// running still.
func (m *machine) key(t *rapid.T) string { return draw(t, "key", m.keys[max(0, len(m.keys)-12):]...) }

func (m *machine) drawClaim(t *rapid.T) {
	m.claim(draw(t, "instance", m.instances...), m.key(t), draw(t, "content", "1", "1", "1", "2"))
}

func (m *machine) drawDispatch(t *rapid.T) {
	run := draw(t, "result", peerpb.Run_RUN_RAN, peerpb.Run_RUN_NOT_RUN, peerpb.Run_RUN_UNKNOWN)
	m.dispatch(draw(t, "grant", m.held...), run, rapid.Bool().Draw(t, "reached"))
}

func (m *machine) drawSettle(t *rapid.T) { m.settle(draw(t, "grant", m.held...)) }

func (m *machine) drawHandover(t *rapid.T) {
	from, to := draw(t, "owner", m.instances...), draw(t, "successor", m.instances...)
	if from == to {
		t.Skip("same instance")
	}
	incarnation, i := from.options.Incarnation, m.indexOf(from.address)
	err := from.HandOver(context.Background(), from, to.address)
	m.coverage[fmt.Sprintf("handover %t", err == nil)]++
	if err == nil || rapid.Bool().Draw(t, "announce a failed handover") {
		m.successors[incarnation] = to.address
	}
	if m.instances[i] == from && rapid.Bool().Draw(t, "replace") {
		m.startInstance(i, OwnerOptions{})
	}
}

func (m *machine) drawFailure(t *rapid.T) {
	switch draw(t, "kind", "hand over", "hand over", "seal", "kill", "kill", "wrong successor") {
	case "hand over":
		m.drawHandover(t)
	case "seal":
		draw(t, "instance", m.instances...).Seal()
	case "kill":
		m.startInstance(rapid.IntRange(0, 2).Draw(t, "instance"), OwnerOptions{})
	case "wrong successor":
		m.successors[draw(t, "instance", m.instances...).options.Incarnation] = draw(t, "successor", m.instances...).address
	}
}

func (m *machine) drawForgedKey(t *rapid.T) {
	key := m.key(t)
	k, _ := m.keyring.verify(key)
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
	case "expiry": // keeps the MAC of the original key
		k.expires += 1 << 16 // keeps the last two bytes of the expiry, which are part of the suffix kept below
		changed := m.keyring.sign(&k)
		forged = changed[:len(key)-24] + key[len(key)-24:]
	}
	require.Equal(t, StateNotIssued, m.claim(draw(t, "instance", m.instances...), forged, "1").State)
}

func (m *machine) drawClockChange(t *rapid.T) {
	d := time.Duration(draw(t, "ms", 1, 100, 1000, 1999, 2000, 2001, 20_000)) * time.Millisecond
	n := draw(t, "instance", m.instances...)
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

func (m *machine) drawDelayedDelivery(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed message")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "message")
	deliver := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	deliver()
}

// Guards against a key that is granted or runs twice, against "not run" reported
// for a key that ran, and against replaying the response of another request, in
// the presence of every failure that the ledger must tolerate.
func TestAtMostOnce(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		delivery := func() string {
			return draw(t, "fate", "ok", "ok", "ok", "slow", "lost", "late", "reply lost", "repeated")
		}
		m := &machine{fleet: newFleet(t, OwnerOptions{MaxClaims: 4, MaxReplayBytes: 20}, delivery)}
		m.coverage = coverage
		m.beforeChunk = func(to *instance) {
			if len(m.keys) > 0 && rapid.IntRange(0, 5).Draw(t, "replace the successor") == 0 {
				m.claim(to, m.key(t), "1")
				m.startInstance(m.indexOf(to.address), OwnerOptions{})
			}
		}
		// Regular operations are listed several times, so that most steps are
		// regular and instances run long enough to reach deep states.
		t.Repeat(map[string]func(*rapid.T){
			"issue 1": m.drawIssue, "issue 2": m.drawIssue, "issue 3": m.drawIssue,
			"claim 1": m.drawClaim, "claim 2": m.drawClaim, "claim 3": m.drawClaim, "claim 4": m.drawClaim, "claim 5": m.drawClaim,
			"dispatch 1": m.drawDispatch, "dispatch 2": m.drawDispatch, "dispatch 3": m.drawDispatch,
			"settle 1": m.drawSettle, "settle 2": m.drawSettle,
			"disrupt": m.drawFailure, "forge": m.drawForgedKey, "clocks": m.drawClockChange, "late message": m.drawDelayedDelivery,
			"": func(t *rapid.T) {
				m.coverage["step"]++
				for _, n := range m.instances {
					n.checkSizes(t)
				}
			},
		})
	})
	t.Log(coverage)
	// A state or failure that never occurred would not have been tested.
	want := []string{
		"message lost", "message late", "message reply lost", "message repeated", "message slow", "replay",
		"dispatch on an ended grant", "handover true", "handover false", "granted by a successor",
	}
	for _, s := range stateReports {
		want = append(want, "state "+s.reason)
	}
	for _, item := range want {
		require.NotZero(t, coverage[item], item)
	}
}
