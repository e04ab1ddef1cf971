package membership

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
)

// Errors of a tree received from a peer.
var (
	errNoTree       = errors.New("the peer has no settings tree of the requested version")
	errTreeTooLarge = errors.New("the decompressed settings tree exceeds the size limit")
)

// compressedTree caches the gzip-compressed text of the tree requested last,
// because after a change several peers request the same tree. Trees are
// compressed because every change transfers the whole tree.
type compressedTree struct {
	tree *dynamic.Tree
	data []byte
}

// compress returns the compressed text of tree. It compresses the text only if
// the previous call was for another tree.
func (p *compressedTree) compress(tree *dynamic.Tree) []byte {
	if p.tree != tree {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write(tree.Text) // writes to a bytes.Buffer never fail
		_ = w.Close()
		p.tree, p.data = tree, b.Bytes()
	}
	return p.data
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
