package feed

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

// textStub is a Translator for tests: a registration has the form "service start",
// and the version of a settings tree is the length of its value.
type textStub struct{}

// firstTreeKey is a key of a settings tree that precedes all registrations.
const firstTreeKey = "config"

func (textStub) Kind(key string) Kind {
	switch {
	case key == "tree", key == firstTreeKey:
		return Tree
	case strings.HasPrefix(key, "server/"):
		return Registration
	case strings.HasPrefix(key, evacuationTestPrefix):
		return Evacuation
	}
	return Other
}

// evacuationTestPrefix precedes the names of failure domains in the keys of evacuations.
const evacuationTestPrefix = "evacuate/"

func (textStub) Evacuation(key string) string { return strings.TrimPrefix(key, evacuationTestPrefix) }

func (textStub) Tree(value []byte) (uint64, []byte, error) { return uint64(len(value)), value, nil }

func (textStub) Registration(key string, value []byte) (BackendRegistration, bool) {
	service, start, ok := strings.Cut(string(value), " ")
	return BackendRegistration{Instance: platform.Instance{Name: key, Service: service, Start: start}}, ok
}

func newTestRegistrations() *registrations {
	l := newRegistrations(textStub{}, events.Discard{})
	return &l
}

func deletions(revision uint64, keys ...string) (out []Change) {
	for _, key := range keys {
		out = append(out, Change{Key: key, Revision: revision, Deleted: true})
	}
	return out
}

func (l *registrations) serverNames(now time.Time) (out []string) {
	for _, i := range l.instances(now) {
		out = append(out, strings.TrimPrefix(i.Name, "server/"))
	}
	return out
}

// Guards against a service that loses all its backend servers because their
// registrations expired during an outage of the store, and against one that keeps
// listing backend servers that have left.
func TestExpiredRegistrationsAreHeldTemporarily(t *testing.T) {
	now := time.Now()
	keys := []string{"server/a", "server/b", "server/c"}
	newFilled := func() *registrations {
		l := newTestRegistrations()
		var all []Change
		for i, key := range append(keys, "server/d") {
			all = append(all, Change{Key: key, Value: []byte("stock 1"), Revision: uint64(i + 1)})
		}
		require.True(t, l.apply(all, now, false))
		return l
	}
	t.Run("deletions without recent store failures take effect at once", func(t *testing.T) {
		l := newFilled()
		l.apply(deletions(9, keys...), now, false)
		require.Equal(t, []string{"d"}, l.serverNames(now))
	})
	t.Run("a deletion of one of four is not held during store failures", func(t *testing.T) {
		l := newFilled()
		l.apply(deletions(9, "server/a"), now, true)
		require.Equal(t, []string{"b", "c", "d"}, l.serverNames(now))
	})
	t.Run("deletions of most are held during store failures", func(t *testing.T) {
		l := newFilled()
		l.apply(deletions(9, keys...), now, true)
		require.Len(t, l.serverNames(now), 4)
		require.Equal(t, expiredHoldTime, l.limitWait(now, time.Minute))
		require.False(t, l.endHolds(now.Add(expiredHoldTime-1)))
		l.apply([]Change{{Key: "server/a", Value: []byte("stock 2"), Revision: 12}}, now, false)
		require.True(t, l.endHolds(now.Add(expiredHoldTime)))
		require.Equal(t, []string{"a", "d"}, l.serverNames(now))
	})
	t.Run("a held registration that a snapshot holds again stays listed", func(t *testing.T) {
		l := newFilled()
		l.apply(deletions(9, keys...), now, true)
		snapshot := map[string]Change{}
		for _, key := range append(keys, "server/d") {
			snapshot[key] = Change{Key: key, Value: []byte("stock 1"), Revision: 12}
		}
		l.replace(snapshot, now, true)
		l.endHolds(now.Add(expiredHoldTime))
		require.Len(t, l.serverNames(now), 4)
	})
	t.Run("registrations missing from a snapshot are held", func(t *testing.T) {
		l := newFilled()
		remaining := map[string]Change{"server/d": {Key: "server/d", Value: []byte("stock 1"), Revision: 4}}
		l.replace(remaining, now, true)
		require.Len(t, l.serverNames(now), 4)
		l.replace(remaining, now.Add(expiredHoldTime), true)
		require.Equal(t, []string{"d"}, l.serverNames(now))
	})
}

// Guards against a backend server that stays listed after its registration was
// overwritten with an invalid one, and against an older change that undoes a newer
// one.
func TestApplyRegistrationChanges(t *testing.T) {
	now := time.Now()
	l := newTestRegistrations()
	l.apply([]Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 5}, {Key: "other", Value: []byte("x"), Revision: 6}}, now, false)
	require.False(t, l.apply([]Change{{Key: "server/a", Revision: 4, Deleted: true}}, now, false))
	require.Equal(t, []string{"a"}, l.serverNames(now))
	l.apply([]Change{{Key: "server/a", Value: []byte("nonsense"), Revision: 7}}, now, false)
	require.Empty(t, l.serverNames(now))
	l.apply([]Change{{Key: "server/b", Value: []byte("stock 1"), Revision: 8}}, now, false)
	l.apply([]Change{{Key: "server/b", Revision: 9, Deleted: true}}, now, false)
	require.False(t, l.apply([]Change{{Key: "server/b", Value: []byte("stock 1"), Revision: 8}}, now, false), "a relay that is behind delivers it again")
	require.Empty(t, l.serverNames(now))
}

// Guards against a registration of another writer that is used although it lacks
// the start time, which most others state.
func TestRegistrationWithoutStartTime(t *testing.T) {
	now := time.Now()
	l := newTestRegistrations()
	l.apply([]Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 1}, {Key: "server/b", Value: []byte("stock "), Revision: 2}}, now, false)
	require.Equal(t, []string{"a", "b"}, l.serverNames(now), "half of the registrations state a start time, which is no majority")
	l.apply([]Change{{Key: "server/c", Value: []byte("stock 1"), Revision: 3}}, now, false)
	require.Equal(t, []string{"a", "c"}, l.serverNames(now))
}
