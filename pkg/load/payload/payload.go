// Package payload is the form of response bodies whose owner and integrity can
// be checked by the caller: one line with the token of the request, the name of
// the backend server, the size and the hash of the content, then the content.
// The backend stand-in writes it and the load generator checks it.
package payload

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Errors of Check.
var (
	ErrForeign = errors.New("body belongs to another request")
	ErrDamaged = errors.New("body is not whole")
)

// TokenHeader is the request field with the token of the request.
const TokenHeader = "X-Request-Token"

// MaxContentBytes bounds the content of one body.
const MaxContentBytes = 1 << 20

const lineFormat = "payload token=%q server=%q bytes=%d sum=%016x\n"

// New returns a body with n bytes of content that depend on the token.
func New(token, server string, n int) []byte {
	n = min(max(n, 0), MaxContentBytes)
	content := make([]byte, n)
	r := rand.NewPCG(xxhash.Sum64String(token), uint64(n))
	for i := 0; i < n; i += 8 {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], r.Uint64())
		copy(content[i:], word[:])
	}
	head := fmt.Sprintf(lineFormat, token, server, n, sum(token, server, content))
	return append([]byte(head), content...)
}

func sum(token, server string, content []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.Itoa(len(token)) + token + server)
	_, _ = d.Write(content)
	return d.Sum64()
}

// Check returns the name of the backend server that wrote the body. It returns
// ErrDamaged where the body is not whole and ErrForeign where it is whole but
// carries another token.
func Check(body []byte, token string) (server string, err error) {
	line, content, found := bytes.Cut(body, []byte("\n"))
	if !found {
		return "", errors.Wrap(ErrDamaged, "no first line")
	}
	var gotToken string
	var n int
	var gotSum uint64
	if _, err := fmt.Sscanf(string(line)+"\n", lineFormat, &gotToken, &server, &n, &gotSum); err != nil {
		return "", errors.Wrap(ErrDamaged, err.Error())
	}
	if n != len(content) {
		return server, errors.Wrapf(ErrDamaged, "%d of %d bytes", len(content), n)
	}
	if gotSum != sum(gotToken, server, content) {
		return server, errors.Wrap(ErrDamaged, "hash differs")
	}
	if gotToken != token {
		return server, errors.Wrapf(ErrForeign, "token %q", gotToken)
	}
	return server, nil
}
