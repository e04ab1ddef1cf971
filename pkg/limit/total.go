package limit

import "sync/atomic"

// Total bounds what several kinds of holders keep together, each of which has a bound of its
// own. A nil Total has no bound. It is safe for concurrent use.
type Total struct {
	size int64
	held atomic.Int64
}

// NewTotal returns a Total of size bytes.
func NewTotal(size int64) *Total { return &Total{size: size} }

// Take takes n bytes. It returns false, and takes nothing, if they are not free.
func (t *Total) Take(n int64) bool {
	if t == nil {
		return true
	}
	if t.held.Add(n) > t.size {
		t.held.Add(-n)
		return false
	}
	return true
}

// Release frees n bytes.
func (t *Total) Release(n int64) {
	if t != nil {
		t.held.Add(-n)
	}
}

// Held returns the bytes that are taken.
func (t *Total) Held() int64 {
	if t == nil {
		return 0
	}
	return t.held.Load()
}
