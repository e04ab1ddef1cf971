package membership

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
)

// Errors of a tree received from a peer.
var (
	errNoTree       = errors.New("the peer has no settings tree of the requested version")
	errTreeTooLarge = errors.New("the decompressed settings tree exceeds the size limit")
)

// compressedTree caches the gzip-compressed text of the tree that was requested or
// received last, because after a change several peers request the same tree. It is safe
// for concurrent use: compressing a large tree does not delay other messages.
type compressedTree struct {
	mu     sync.Mutex
	digest [sha256.Size]byte
	data   []byte // nil: none
}

// compress returns the compressed text of tree. It compresses the text only if the cache
// holds another tree.
func (p *compressedTree) compress(tree *dynamic.Tree) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data == nil || p.digest != tree.Digest {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write(tree.Text) // writes to a bytes.Buffer never fail
		_ = w.Close()
		p.digest, p.data = tree.Digest, b.Bytes()
	}
	return p.data
}

// keep stores the compressed text of a tree as a peer has sent it.
func (p *compressedTree) keep(text, compressed []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digest, p.data = sha256.Sum256(text), compressed
}

// decompressTree returns the text of a tree received from a peer. It reads at
// most one byte more than limit, so that a small message cannot exhaust the
// memory. An empty input gives errNoTree, a text longer than limit bytes
// errTreeTooLarge.
func decompressTree(compressed []byte, limit int) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, errNoTree
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress settings tree")
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress settings tree")
	}
	if len(text) > limit {
		return nil, errTreeTooLarge
	}
	return text, nil
}
