package feed

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

// words translates values of the form "service start", and "tree N".
type words struct{}

func (words) Kind(key string) Kind {
	switch {
	case key == "tree":
		return Tree
	case strings.HasPrefix(key, "server/"):
		return Registration
	}
	return Other
}

func (words) Tree(value []byte) (uint64, []byte, error) { return uint64(len(value)), value, nil }

func (words) Registration(key string, value []byte) (Registered, bool) {
	service, start, ok := strings.Cut(string(value), " ")
	return Registered{Instance: platform.Instance{Name: key, Service: service, Start: start}}, ok
}

func newRegistrations() *registrations {
	return &registrations{translator: words{}, rec: events.Discard{}, known: map[string]registered{}, lapsed: map[string]time.Time{}}
}

func deleted(revision uint64, keys ...string) (out []Change) {
	for _, key := range keys {
		out = append(out, Change{Key: key, Revision: revision, Deleted: true})
	}
	return out
}

func (l *registrations) names(now time.Time) (out []string) {
	for _, i := range l.instances(now) {
		out = append(out, strings.TrimPrefix(i.Name, "server/"))
	}
	return out
}

// Guards against a service without backend servers because all registrations
// lapsed while the store was away, and against one that keeps those that are
// gone for good.
func TestLapsedRegistrationsAreHeldForAWhile(t *testing.T) {
	now := time.Now()
	keys := []string{"server/a", "server/b", "server/c"}
	fill := func() *registrations {
		l := newRegistrations()
		var all []Change
		for i, key := range append(keys, "server/d") {
			all = append(all, Change{Key: key, Value: []byte("stock 1"), Revision: uint64(i + 1)})
		}
		require.True(t, l.apply(all, now, false))
		return l
	}
	t.Run("a store without trouble means what it says", func(t *testing.T) {
		l := fill()
		l.apply(deleted(9, keys...), now, false)
		require.Equal(t, []string{"d"}, l.names(now))
	})
	t.Run("one of four has left", func(t *testing.T) {
		l := fill()
		l.apply(deleted(9, "server/a"), now, true)
		require.Equal(t, []string{"b", "c", "d"}, l.names(now))
	})
	t.Run("most of them in time of trouble", func(t *testing.T) {
		l := fill()
		l.apply(deleted(9, keys...), now, true)
		require.Len(t, l.names(now), 4)
		require.Equal(t, lapseHold, l.patience(now, time.Minute))
		require.False(t, l.expire(now.Add(lapseHold-1)))
		l.apply([]Change{{Key: "server/a", Value: []byte("stock 2"), Revision: 12}}, now, false)
		require.True(t, l.expire(now.Add(lapseHold)))
		require.Equal(t, []string{"a", "d"}, l.names(now))
	})
	t.Run("a snapshot without them", func(t *testing.T) {
		l := fill()
		rest := map[string]Change{"server/d": {Key: "server/d", Value: []byte("stock 1"), Revision: 4}}
		l.replace(rest, now, true)
		require.Len(t, l.names(now), 4)
		l.replace(rest, now.Add(lapseHold), true)
		require.Equal(t, []string{"d"}, l.names(now))
	})
}

// Guards against a registration that names no backend server and hides the one
// before, and against an older change that undoes a newer one.
func TestRegistrationsChange(t *testing.T) {
	now := time.Now()
	l := newRegistrations()
	l.apply([]Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 5}, {Key: "other", Value: []byte("x"), Revision: 6}}, now, false)
	require.False(t, l.apply([]Change{{Key: "server/a", Revision: 4, Deleted: true}}, now, false))
	require.Equal(t, []string{"a"}, l.names(now))
	l.apply([]Change{{Key: "server/a", Value: []byte("nonsense"), Revision: 7}}, now, false)
	require.Empty(t, l.names(now))
}

// Guards against an entry of another writer that is used because it lacks only
// the time of its start, which all others state.
func TestMissingStart(t *testing.T) {
	now := time.Now()
	l := newRegistrations()
	l.apply([]Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 1}, {Key: "server/b", Value: []byte("stock "), Revision: 2}}, now, false)
	require.Equal(t, []string{"a", "b"}, l.names(now), "neither form outnumbers the other")
	l.apply([]Change{{Key: "server/c", Value: []byte("stock 1"), Revision: 3}}, now, false)
	require.Equal(t, []string{"a", "c"}, l.names(now))
}
