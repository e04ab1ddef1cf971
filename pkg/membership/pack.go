package membership

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
)

// Errors of a peer's tree.
var (
	errNoTree       = errors.New("the peer has no tree of that version")
	errTreeTooLarge = errors.New("the tree is larger than the limit")
)

// packedTree keeps the compressed text of the tree that was asked for last,
// because after a change several peers ask for the same tree. Compression pays
// because every change sends the whole tree.
type packedTree struct {
	tree *dynamic.Tree
	text []byte
}

func (p *packedTree) of(tree *dynamic.Tree) []byte {
	if p.tree != tree {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write(tree.Text) // a bytes.Buffer does not fail
		_ = w.Close()
		p.tree, p.text = tree, b.Bytes()
	}
	return p.text
}

// unpack returns the text of a peer's tree. It reads no more than limit, so
// that a small message cannot fill the memory.
func unpack(packed []byte, limit int) ([]byte, error) {
	if len(packed) == 0 {
		return nil, errNoTree
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack tree")
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack tree")
	}
	if len(text) > limit {
		return nil, errTreeTooLarge
	}
	return text, nil
}
