package membership

import (
	"bytes"
	"compress/gzip"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/settings"
)

// treePeer is a peer that sends a text for each request of its tree.
type treePeer struct{ text string }

func (treePeer) Exchange(context.Context, string, *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return &peerpb.ExchangeResponse{}, nil
}

func (p treePeer) Tree(context.Context, string, *peerpb.TreeRequest) (*peerpb.TreeResponse, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write([]byte(p.text)); err != nil {
		return nil, err
	}
	err := w.Close()
	return &peerpb.TreeResponse{Tree: b.Bytes()}, err
}

// Guards against an instance that keeps an older version because the peers of another
// build, of which it hears of a new one, send a tree that it cannot use.
func TestUnusableTreeIsReported(t *testing.T) {
	const limit = 1000
	for _, tt := range []struct {
		desc, text string
		want       []uint64
	}{
		{"member of another build", `{"version": 5, "fleet": {"defaults": {"newer": 1}}}`, []uint64{5}},
		{"longer than the limit", `{"version": 5, "fleet": {}` + strings.Repeat(" ", limit) + `}`, []uint64{5}},
		{"usable", `{"version": 5}`, nil},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			c := clock.NewSystem()
			var reported []uint64
			table := New(Options{
				Self: &peerpb.Member{Instance: "a", Incarnation: 1}, Client: treePeer{tt.text}, Store: settings.NewStore(events.Discard{}, c), Clock: c, Recorder: events.Discard{},
				MaxTreeBytes: limit, OnUnusableTree: func(version uint64) { reported = append(reported, version) },
			})
			table.fetchTree(t.Context(), table.replierFetchSlots, "127.0.0.1:1", 5)
			require.Equal(t, tt.want, reported)
		})
	}
}
