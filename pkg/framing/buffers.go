package framing

import "sync"

const (
	// minBufferBytes is the size of the smallest buffers for heads; each class has twice the
	// size of the one before. The sixteenth above powers of two has room for what heads may
	// have beyond the usual limits.
	minBufferBytes = 512 + 512/16
	// bufferClasses is the number of sizes, up to 2.1 MiB.
	bufferClasses = 13
)

// buffers holds buffers of heads for reuse, by size: callers that send long heads without
// end would otherwise leave garbage of many times the memory for heads between two
// collections.
var buffers [bufferClasses]sync.Pool

// bufferClass returns the class of the smallest buffers of at least n bytes.
func bufferClass(n int) int {
	class := 0
	for n > minBufferBytes<<class {
		class++
	}
	return class
}

// grow returns b with room for n more bytes. If it returns another buffer, b must not be
// used any more.
func grow(b []byte, n int) []byte {
	if len(b)+n <= cap(b) {
		return b
	}
	class := bufferClass(len(b) + n)
	if class >= bufferClasses {
		return append(make([]byte, 0, 2*cap(b)+n), b...)
	}
	var next []byte
	if pooled, ok := buffers[class].Get().(*[]byte); ok {
		next = (*pooled)[:0]
	} else {
		next = make([]byte, 0, minBufferBytes<<class)
	}
	next = append(next, b...)
	recycle(b)
	return next
}

// recycle makes a buffer from grow available again. It must not be used any more.
func recycle(b []byte) {
	class := bufferClass(cap(b))
	if cap(b) > 0 && class < bufferClasses && cap(b) == minBufferBytes<<class {
		b = b[:0]
		buffers[class].Put(&b)
	}
}
