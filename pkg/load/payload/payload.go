// Package payload defines a format of response bodies from which a caller can
// tell whether a body belongs to its request and is intact: a header line with
// the token of the request, the name of the backend server, the size of the
// content in bytes and a hash (XXH64), followed by the content. The backend
// stand-in writes these bodies and the load generator checks them.
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
	ErrDamaged = errors.New("body is truncated or corrupt")
)

// TokenHeader is the request header that carries the token.
const TokenHeader = "X-Request-Token"

// MaxContentBytes is the maximum size of the content, without the header line.
const MaxContentBytes = 1 << 20

const headerFormat = "payload token=%q server=%q bytes=%d sum=%016x\n"

// New returns a body with n bytes of pseudo-random content derived from the
// token. n is limited to the range 0 to MaxContentBytes.
func New(token, server string, n int) []byte {
	n = min(max(n, 0), MaxContentBytes)
	content := make([]byte, n)
	source := rand.NewPCG(xxhash.Sum64String(token), uint64(n))
	for i := 0; i < n; i += 8 {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], source.Uint64())
		copy(content[i:], word[:])
	}
	header := fmt.Sprintf(headerFormat, token, server, n, checksum(token, server, content))
	return append([]byte(header), content...)
}

// checksum returns the hash of the token, server name and content. The length of
// the token is included so that the boundary between token and server name is
// unambiguous.
func checksum(token, server string, content []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.Itoa(len(token)) + token + server)
	_, _ = digest.Write(content)
	return digest.Sum64()
}

// Check verifies a body and returns the name of the backend server that wrote it.
// It returns ErrDamaged if the body is truncated or corrupt, and ErrForeign if it
// is intact but has another token.
func Check(body []byte, token string) (server string, err error) {
	header, content, found := bytes.Cut(body, []byte("\n"))
	if !found {
		return "", errors.Wrap(ErrDamaged, "no header line")
	}
	var gotToken string
	var n int
	var gotChecksum uint64
	if _, err := fmt.Sscanf(string(header)+"\n", headerFormat, &gotToken, &server, &n, &gotChecksum); err != nil {
		return "", errors.Wrap(ErrDamaged, err.Error())
	}
	if n != len(content) {
		return server, errors.Wrapf(ErrDamaged, "content has %d bytes, want %d", len(content), n)
	}
	if gotChecksum != checksum(gotToken, server, content) {
		return server, errors.Wrap(ErrDamaged, "hash mismatch")
	}
	if gotToken != token {
		return server, errors.Wrapf(ErrForeign, "token %q", gotToken)
	}
	return server, nil
}
