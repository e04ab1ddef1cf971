package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	shopHost     = "shop.example"
	orderTimeout = 1500 * time.Millisecond
)

// answer is the outcome of an order for its client. status is 0 if there was none.
type answer struct {
	id      string
	machine int
	status  int
	err     error
}

// traffic sends orders at a constant rate, in turn to the machines whose process runs, over
// kept connections.
type traffic struct {
	lab    *lab
	client *http.Client
	stop   chan struct{}
	all    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func (l *lab) startTraffic(perSecond int) *traffic {
	t := &traffic{
		lab: l, stop: make(chan struct{}),
		client: &http.Client{Timeout: orderTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	t.all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			if m := t.lab.pick(n); m != nil {
				id := fmt.Sprintf("order-%d", n)
				t.all.Go(func() { t.send(m, id) })
			}
		}
	})
	return t
}

// pick returns a running machine, nil if there is none.
func (l *lab) pick(n int) *machine {
	l.mu.Lock()
	machines := l.machines
	l.mu.Unlock()
	var running []*machine
	for _, m := range machines {
		if m.isRunning() {
			running = append(running, m)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[n%len(running)]
}

func (t *traffic) send(m *machine, id string) {
	a := answer{id: id, machine: m.index}
	r, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/order/"+id, strings.NewReader("one pallet"))
	if err != nil {
		panic(err) // the URL is a constant form
	}
	r.Host = shopHost
	r.GetBody = nil // an order is not sent twice
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(orderTimeout.Milliseconds()))
	resp, err := t.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if a.err = err; err == nil {
		a.status = resp.StatusCode
	}
	t.mu.Lock()
	t.answers = append(t.answers, a)
	t.mu.Unlock()
}

// end stops the traffic and returns the outcomes of all orders.
func (t *traffic) end() []answer {
	close(t.stop)
	t.all.Wait()
	return t.answers
}

// logAnswers writes the outcome of each order, where it has run, and the number of answers by
// status.
func (l *lab) logAnswers(answers []answer, backends ...*backend) {
	count := map[int]int{}
	for _, a := range answers {
		count[a.status]++
		ranAt := "none"
		for _, b := range backends {
			if b.hasRun(a.id) {
				ranAt = b.id
			}
		}
		if a.err != nil {
			l.logf("%s to machine %d: no answer (%v); run at: %s", a.id, a.machine, a.err, ranAt)
		} else {
			l.logf("%s to machine %d: %d; run at: %s", a.id, a.machine, a.status, ranAt)
		}
	}
	l.logf("orders by status, 0 without an answer: %v", count)
}
