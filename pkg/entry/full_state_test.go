package entry

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/peer/peerpb"
)

// registrationChanges returns changes with values like those of the users' platform.
func registrationChanges(n int) (out []*peerpb.Change) {
	random := rand.New(rand.NewPCG(1, 0))
	for i := range n {
		id := fmt.Sprintf("i-%08x", random.Uint32())
		out = append(out, &peerpb.Change{Key: "servers/" + id, Revision: uint64(1000 + i), Value: fmt.Appendf(nil,
			`{"info":{"id":%q,"service":"svc-%d","address":"10.%d.64.%d:8500","zone":"zone-%d","version":1,"slots":6},"status":{"state":"ready","seq":%d,"warmup-left-ms":0},"born":%d}`,
			id, i%4, i%5, i%250, i%5, random.IntN(99), 1775923535000+random.IntN(9999))})
	}
	return out
}

func okResponse(changes []*peerpb.Change, revision uint64) func() (*peerpb.ChangesResponse, error) {
	return func() (*peerpb.ChangesResponse, error) {
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_OK, Changes: changes, Revision: revision, Era: 3, TreesRevision: 7}, nil
	}
}

// Guards against a full state that is changed by its compression, or that remains so large
// that a relay with a link of 20 Mbit/s does not send it to a failure domain of 94 entries
// before they give up.
func TestFullStateIsCompressed(t *testing.T) {
	for _, n := range []int{0, 1, 50, 1081} {
		var f fullState
		changes := registrationChanges(n)
		resp, err := f.response(time.Now(), okResponse(changes, 9))
		require.NoError(t, err)
		require.Equal(t, []uint64{9, 3, 7}, []uint64{resp.Revision, resp.Era, resp.TreesRevision})
		if resp.CompressedChanges != nil {
			require.Empty(t, resp.Changes)
			resp.Changes, err = decompressChanges(resp.CompressedChanges)
			require.NoError(t, err)
		}
		require.Len(t, resp.Changes, n)
		for i := range changes {
			require.True(t, proto.Equal(changes[i], resp.Changes[i]))
		}
		const linkBytesPerSecond = 20e6 / 8
		require.Less(t, float64(94*proto.Size(&peerpb.ChangesResponse{CompressedChanges: resp.CompressedChanges}))/linkBytesPerSecond, 5.0)
	}
}

// Guards against a cached state that is served for longer than peers need, and against a
// refusal that is cached.
func TestFullStateIsRenewed(t *testing.T) {
	var f fullState
	now := time.Now()
	refused, err := f.response(now, func() (*peerpb.ChangesResponse, error) {
		return &peerpb.ChangesResponse{State: peerpb.ChangesState_CHANGES_STATE_NOT_READER}, nil
	})
	require.NoError(t, err)
	require.Equal(t, peerpb.ChangesState_CHANGES_STATE_NOT_READER, refused.State)
	failure := errors.New("failure")
	_, err = f.response(now, func() (*peerpb.ChangesResponse, error) { return nil, failure })
	require.ErrorIs(t, err, failure)
	for _, tt := range []struct {
		after time.Duration
		want  uint64
	}{{0, 1}, {maxFullStateAge, 1}, {maxFullStateAge + 1, 3}} {
		resp, err := f.response(now.Add(tt.after), okResponse(nil, tt.want))
		require.NoError(t, err)
		require.Equal(t, tt.want, resp.Revision)
	}
}

// Guards against compressed changes of a peer that exhaust the memory or are taken for
// changes although they are none.
func TestInvalidCompressedChanges(t *testing.T) {
	pack := func(plain []byte) []byte {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, err := w.Write(plain)
		require.NoError(t, err)
		require.NoError(t, w.Close())
		return b.Bytes()
	}
	valid := pack([]byte("\x00"))
	for _, tt := range []struct {
		desc       string
		compressed []byte
		want       string
	}{
		{"not compressed", []byte("x"), "decompress changes"},
		{"cut short", valid[:len(valid)-4], "decompress changes"},
		{"not a message", pack([]byte("\xff\xff")), "parse compressed changes"},
		{"too large", pack(make([]byte, maxDecompressedBytes+1)), errChangesTooLarge.Error()},
	} {
		_, err := decompressChanges(tt.compressed)
		require.ErrorContains(t, err, tt.want, tt.desc)
	}
}
