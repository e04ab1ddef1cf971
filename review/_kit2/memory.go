package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxHeaderBytes = 16384 // of the configuration
	longBytes      = 1_000_000
	shortBytes     = 1_000
	machineMB      = 284

	maxHeads        = 1500             // to one machine
	headInterval    = time.Second / 30 // between two heads to one machine
	endsOfFault     = 3                // of one process
	machinesOfFault = 2
	sampleInterval  = 500 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	dialPause       = 20 * time.Millisecond
	ordersPerSecond = 40
)

// ordersConfiguration has one route for orders.
func ordersConfiguration() []byte {
	return fmt.Appendf(nil, `{"version":"0000000c","limits":{"max-header-bytes":%d,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "listeners":[{"host":%q,"policy":[
  {"name":"r-order","kind":"unsafe","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/order/"},"action":{"service":"orders","timeout-ms":1500,"max-attempts":2}}]}],
 "clusters":[{"name":"orders","health-path":"/health","max-conns":260}]}`, maxHeaderBytes, shopHost)
}

// supervisor starts the process of a machine again when it has ended by itself, as the
// platform does.
type supervisor struct {
	machine *machine
	stop    chan struct{}
	done    sync.WaitGroup
	ends    atomic.Int64 // of the process by itself, after it has exceeded the memory of its machine

	mu      sync.Mutex
	current float64 // highest heap that the current process has stated, in bytes
	highest float64 // of all
}

func (m *machine) supervise() *supervisor {
	s := &supervisor{machine: m, stop: make(chan struct{})}
	s.done.Go(s.restart)
	s.done.Go(s.sample)
	return s
}

func (s *supervisor) restart() {
	for {
		_, exited := s.machine.process()
		select {
		case <-s.stop:
			return
		case <-exited:
		}
		heap := s.beginNext()
		s.machine.lab.logf("machine %d: it had stated a heap of %.1f MB; its last words: %q", s.machine.index, heap/bytesPerMB, s.machine.lastWords())
		if heap > float64(s.machine.lab.settings.memoryMB*bytesPerMB) {
			s.ends.Add(1)
		}
		time.Sleep(restartDelay)
		if err := s.machine.run(false); err != nil {
			s.machine.lab.logf("machine %d: not started again: %v", s.machine.index, err)
			return
		}
		_ = s.machine.waitReady()
	}
}

func (s *supervisor) sample() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(sampleInterval):
		}
		heap := s.machine.heapBytes()
		s.mu.Lock()
		s.current, s.highest = max(s.current, heap), max(s.highest, heap)
		s.mu.Unlock()
		s.machine.lab.logf("machine %d: heap of %.1f MB by its metrics", s.machine.index, heap/bytesPerMB)
	}
}

// beginNext returns the highest heap that the process has stated before its end.
func (s *supervisor) beginNext() (heap float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	heap, s.current = s.current, 0
	return heap
}

// end stops the supervision and returns how often the process has ended by itself
// after it has exceeded the memory of its machine.
func (s *supervisor) end() (ends int64) {
	close(s.stop)
	s.done.Wait()
	s.machine.lab.logf("machine %d of %d MB: the process has exceeded this memory and ended by itself %d times; its highest stated heap: %.1f MB",
		s.machine.index, s.machine.lab.settings.memoryMB, s.ends.Load(), s.highest/bytesPerMB)
	return s.ends.Load()
}

// memoryCase lets an untrusted client send heads to each of two machines while ordinary
// clients send orders, and reports a Fault. If keepsConnections, the
// client keeps each connection after the answer, and closes it otherwise.
func memoryCase(recordPath, head string, keepsConnections bool) (isBroken bool, err error) {
	l, err := newLab(recordPath, settings{memoryMB: machineMB, maxFDs: 4100, seeds: []int{0, 1}, limitsMemory: true})
	if err != nil {
		return false, err
	}
	defer l.close()
	l.store.Put("op/config", ordersConfiguration())
	var backends []*backend
	for i := range 2 {
		b, err := l.startBackend(fmt.Sprintf("s%d", i), "orders", "zone-a", 0)
		if err != nil {
			return false, err
		}
		defer b.close()
		backends = append(backends, b)
	}
	l.addMachines(2, "zone-a")
	if err := l.startAll(); err != nil {
		return false, err
	}
	orders := l.startTraffic(ordersPerSecond)
	time.Sleep(2 * time.Second)
	l.logf("one client for each machine sends up to %d requests, one after another, with heads of %d bytes; the limit is %d", maxHeads, len(head), maxHeaderBytes)
	var supervisors []*supervisor
	var clients sync.WaitGroup
	for _, m := range l.machines {
		s := m.supervise()
		supervisors = append(supervisors, s)
		clients.Go(func() { s.sendHeads(head, keepsConnections) })
	}
	clients.Wait()
	time.Sleep(time.Second)
	l.logAnswers(orders.end(), backends...)
	return isFault(supervisors), nil
}

// isFault ends the supervision and reports whether the processes of as many machines as the
// rule names have ended by themselves as often as it names.
func isFault(supervisors []*supervisor) bool {
	machines := 0
	for _, s := range supervisors {
		if s.end() >= endsOfFault {
			machines++
		}
	}
	return machines >= machinesOfFault
}

// sendHeads sends heads at a constant rate until the process has ended endsOfFault times.
func (s *supervisor) sendHeads(head string, keepsConnections bool) {
	answers := map[string]int{}
	ticker := time.NewTicker(headInterval)
	defer ticker.Stop()
	for n := 0; n < maxHeads && s.ends.Load() < endsOfFault; n++ {
		<-ticker.C
		conn, line := s.machine.sendHead(head)
		answers[line]++
		if conn != nil && keepsConnections {
			defer conn.Close()
		} else if conn != nil {
			_ = conn.Close()
		}
	}
	s.machine.lab.logf("machine %d: answers to the untrusted client: %v", s.machine.index, answers)
}

// longRequestLines sends request lines over the limit. The client reads each refusal and
// closes its connection.
func longRequestLines(recordPath string, hasTrouble bool) (isBroken bool, err error) {
	size := shortBytes
	if hasTrouble {
		size = longBytes
	}
	head := "GET /nothing/" + strings.Repeat("a", size) + " HTTP/1.1\r\nHost: " + shopHost + "\r\nRequest-Id: foreign\r\n\r\n"
	return memoryCase(recordPath, head, false)
}

// longLengths sends heads that are over the limit by the zeros before their Content-Length.
// The client keeps each connection idle after the answer.
func longLengths(recordPath string, hasTrouble bool) (isBroken bool, err error) {
	size := shortBytes
	if hasTrouble {
		size = longBytes
	}
	head := "GET /nothing/here HTTP/1.1\r\nHost: " + shopHost + "\r\nRequest-Id: foreign\r\nContent-Length: " + strings.Repeat("0", size) + "\r\n\r\n"
	return memoryCase(recordPath, head, true)
}

// sendHead sends a request on a new connection and returns the connection and the first line
// of the answer.
func (m *machine) sendHead(text string) (net.Conn, string) {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		time.Sleep(dialPause)
		return nil, "no connection"
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		return conn, "closed"
	}
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return conn, "closed"
	}
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	return conn, line
}
