package bench

import "time"

// event is a function call scheduled at a virtual time. Events with the same time
// run in the order in which they were scheduled, so runs are reproducible.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.sequence < o.sequence }

// loop is an event loop in virtual time with a binary heap of events. It does not
// use container/heap, which would allocate on each push.
type loop struct {
	now      time.Duration
	sequence uint64
	heap     []event
}

// after schedules run after d, or at the current time if d is negative.
func (l *loop) after(d time.Duration, run func()) {
	l.sequence++
	l.heap = append(l.heap, event{l.now + max(0, d), l.sequence, run})
	h := l.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// every schedules run after first and then once per period until end.
func (l *loop) every(first, period, end time.Duration, run func()) {
	l.after(first, func() {
		run()
		if l.now+period <= end {
			l.every(period, period, end, run)
		}
	})
}

// run runs all events scheduled up to and including end.
func (l *loop) run(end time.Duration) {
	for len(l.heap) > 0 && l.heap[0].at <= end {
		e := l.pop()
		l.now = e.at
		e.run()
	}
}

func (l *loop) pop() event {
	h := l.heap
	top, n := h[0], len(h)-1
	h[0], h[n] = h[n], event{}
	h = h[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h[c+1].before(&h[c]) {
			c++
		}
		if !h[c].before(&h[i]) {
			break
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
	l.heap = h
	return top
}
