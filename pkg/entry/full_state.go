package entry

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/peer/peerpb"
)

const (
	// minCompressedBytes is the size of the changes from which on they are compressed.
	minCompressedBytes = 16 << 10
	// maxDecompressedBytes bounds the changes that a peer sends in compressed form.
	maxDecompressedBytes = 32 << 20
	// maxFullStateAge is how long the full state is sent from memory. When all entries
	// start, most of a failure domain request it at once, and the smallest ones need
	// a tenth of a second to compress it. Peers request the changes since.
	maxFullStateAge = time.Second
)

var errChangesTooLarge = errors.New("the decompressed changes exceed the size limit")

// fullState caches the response to peers that request the full state of the platform's
// store. It is safe for concurrent use.
type fullState struct {
	mu       sync.Mutex
	cached   *peerpb.ChangesResponse // nil: none
	cachedAt time.Time
}

// response returns the response that build returns, with compressed changes if they are
// large, or an earlier one.
func (f *fullState) response(now time.Time, build func() (*peerpb.ChangesResponse, error)) (*peerpb.ChangesResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cached == nil || now.Sub(f.cachedAt) > maxFullStateAge {
		built, err := build()
		if err != nil || built.State != peerpb.ChangesState_CHANGES_STATE_OK {
			return built, err
		}
		if err := compressChanges(built); err != nil {
			return nil, err
		}
		f.cached, f.cachedAt = built, now
	}
	c := f.cached
	return &peerpb.ChangesResponse{
		State: c.State, Changes: c.Changes, CompressedChanges: c.CompressedChanges,
		Revision: c.Revision, Era: c.Era, TreesRevision: c.TreesRevision,
	}, nil
}

// compressChanges replaces the changes of a response by their compressed form if they are
// large.
func compressChanges(resp *peerpb.ChangesResponse) error {
	plain, err := proto.Marshal(&peerpb.ChangesResponse{Changes: resp.Changes})
	if err != nil {
		return errors.Wrap(err, "marshal changes")
	}
	if len(plain) < minCompressedBytes {
		return nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(plain) // writes to a bytes.Buffer never fail
	_ = w.Close()
	resp.Changes, resp.CompressedChanges = nil, b.Bytes()
	return nil
}

// decompressChanges returns the changes that compressChanges has compressed. It reads at
// most one byte more than maxDecompressedBytes.
func decompressChanges(compressed []byte) ([]*peerpb.Change, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, errChangesTooLarge
	}
	var resp peerpb.ChangesResponse
	if err := proto.Unmarshal(plain, &resp); err != nil {
		return nil, errors.Wrap(err, "parse compressed changes")
	}
	return resp.Changes, nil
}
