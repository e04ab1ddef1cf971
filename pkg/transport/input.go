package transport

import (
	"bufio"
	"net/http"

	"lentilpin/pkg/framing"
)

// maxPooledHeadBytes is the size above which the copy of a head is not returned to the pool.
const maxPooledHeadBytes = 16 << 10

// input reads from a connection and, while a head is being read, keeps a copy of the bytes.
type input struct {
	conn      *conn
	isCopying bool
	copied    []byte
}

// Read implements io.Reader.
func (i *input) Read(p []byte) (int, error) {
	n, err := i.conn.Read(p)
	if i.isCopying {
		i.copied = append(i.copied, p[:n]...)
	}
	return n, err
}

// recycle prepares the input for another connection.
func (i *input) recycle() {
	i.conn, i.isCopying = nil, false
	if cap(i.copied) > maxPooledHeadBytes {
		i.copied = nil
	}
}

// readHead reads the head of one response, final or interim. net/http decides where it ends
// and what it says; what net/http repairs on the way is refused.
func (i *input) readHead(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	i.copied, i.isCopying = append(i.copied[:0], buffered...), true
	head, err := http.ReadResponse(reader, r)
	i.isCopying = false
	if err != nil {
		return nil, err
	}
	return head, framing.CheckResponseHead(i.copied[:len(i.copied)-reader.Buffered()])
}
