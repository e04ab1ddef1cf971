package settings_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/clock/clocktest"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/settings"
)

type fakeRecorder struct{ names []string }

func (r *fakeRecorder) Record(e *events.Event, _ ...events.Field) { r.names = append(r.names, e.Name) }

func (r *fakeRecorder) count(name string) (n int) {
	for _, got := range r.names {
		if got == name {
			n++
		}
	}
	return n
}

func treeText(version uint64, variant int) []byte {
	if variant == 0 {
		return fmt.Appendf(nil, `{"version":%d,"fleet":{"defaults":{"timeoutMs":0}}}`, version) // violates the schema
	}
	return fmt.Appendf(nil, `{"version":%d,"fleet":{"defaults":{"timeoutMs":%d}}}`, version, variant)
}

// Guards against a version that decreases, a tree replaced by another one of the
// same version, a refused tree that changes the state, and a confirmation that
// persists beyond its epoch. The oracle is the highest valid version offered so
// far, with the content offered first.
func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		recorder := &fakeRecorder{}
		s := settings.NewStore(recorder, clocktest.NewManual())
		var version uint64
		var variant, adopted int
		var notified []uint64
		epoch, confirmed, storeEpochs := 0, false, map[int]uint64{}
		s.Subscribe(func(tree *dynamic.Tree) { notified = append(notified, tree.Version) })
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				v, k := rapid.Uint64Range(1, 12).Draw(rt, "version"), rapid.IntRange(0, 3).Draw(rt, "variant")
				want := settings.ResultAdopted
				switch {
				case v < version:
					want = settings.ResultOlder
				case v == version && k != variant:
					want = settings.ResultConflict
				case v == version:
					want = settings.ResultSame
				case k == 0:
					want = settings.ResultInvalid
				default:
					version, variant, adopted = v, k, adopted+1
				}
				require.Equal(rt, want.String(), s.Offer(treeText(v, k), "test").String())
			},
			"ask":       func(*rapid.T) { storeEpochs[epoch] = s.Epoch() },
			"unconfirm": func(*rapid.T) { s.Unconfirm("paused"); epoch++; confirmed = false },
			"confirm": func(rt *rapid.T) {
				requestEpoch := rapid.IntRange(0, epoch).Draw(rt, "epoch")
				if e, ok := storeEpochs[requestEpoch]; ok {
					confirmed = confirmed || (requestEpoch == epoch && version > 0)
					require.Equal(rt, confirmed, s.ConfirmInEpoch(e, "peer"))
				}
			},
			"": func(rt *rapid.T) {
				require.Equal(rt, version, s.Version())
				require.Equal(rt, confirmed, s.Confirmed())
				require.Len(rt, notified, adopted)
				require.Equal(rt, adopted, recorder.count("settings_adopted"))
				require.IsIncreasing(rt, append([]uint64{0}, notified...))
				if version > 0 {
					require.Equal(rt, string(treeText(version, variant)), string(s.Current().Text))
				}
			},
		})
	})
}

// Guards against a conflict that is not reported if a peer states only the digest,
// and against a log line for every message about the same conflict.
func TestConflictIsReportedOnce(t *testing.T) {
	recorder := &fakeRecorder{}
	s := settings.NewStore(recorder, clocktest.NewManual())
	s.Offer(treeText(5, 1), "service")
	digest := s.Current().Digest
	digest[0]++
	for range 3 {
		_, ok := s.CompareVersion(5, digest[:], "peer")
		require.False(t, ok)
	}
	require.Equal(t, 1, recorder.count("settings_conflict"))
	order, ok := s.CompareVersion(6, digest[:], "peer")
	require.True(t, ok)
	require.Equal(t, 1, order)
}

// BenchmarkAdopt measures the adoption of a tree in which every service sets eight
// values and one fleet default changes: validation, resolution and difference.
func BenchmarkAdopt(b *testing.B) {
	for _, services := range []int{8, 790} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			s := settings.NewStore(events.Discard{}, clocktest.NewManual())
			tree := func(version int) []byte {
				out := fmt.Appendf(nil, `{"version":%d,"fleet":{"defaults":{"attemptTimeoutMs":%d}},"regions":{"r":{"services":{`, version, 1000+version)
				for i := range services {
					if i > 0 {
						out = append(out, ',')
					}
					out = fmt.Appendf(out, `"service-%04d":{"timeoutMs":900,"slots":6,"queue":{"maxRequests":64,"maxWaitMs":50},`+
						`"keys":{"lifetimeMs":600000,"claimMs":400},"measuring":{"messagesPerSecond":100,"bytesPerSecond":32768}}`, i)
				}
				return append(out, "}}}}"...)
			}
			version := 0
			for b.Loop() {
				version++
				if r := s.Offer(tree(version), "service"); r != settings.ResultAdopted {
					b.Fatal(r)
				}
			}
			b.ReportMetric(float64(len(tree(1))), "bytes/tree")
		})
	}
}
