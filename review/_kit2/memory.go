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

	maxHeads        = 1500 // to one machine
	killsOfFault    = 3    // of one machine, after which a client stops
	sampleInterval  = 20 * time.Millisecond
	reportInterval  = 500 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	ordersPerSecond = 40
)

// ordersConfiguration has one route for orders.
func ordersConfiguration() []byte {
	return fmt.Appendf(nil, `{"version":"0000000c","limits":{"max-header-bytes":%d,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "listeners":[{"host":%q,"policy":[
  {"name":"r-order","kind":"unsafe","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/order/"},"action":{"service":"orders","timeout-ms":1500,"max-attempts":2}}]}],
 "clusters":[{"name":"orders","health-path":"/health","max-conns":260}]}`, maxHeaderBytes, shopHost)
}

// memoryGuard does what the platform does: it kills a process that exceeds the memory of its
// machine and starts it again.
type memoryGuard struct {
	machine *machine
	stop    chan struct{}
	done    chan struct{}
	highest int // bytes
	kills   atomic.Int64
}

func (m *machine) guardMemory() *memoryGuard {
	g := &memoryGuard{machine: m, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *memoryGuard) run() {
	defer close(g.done)
	limit := g.machine.lab.settings.memoryMB * bytesPerMB
	nextReport := time.Now()
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(sampleInterval):
		}
		used := g.machine.memoryBytes()
		g.highest = max(g.highest, used)
		if now := time.Now(); now.After(nextReport) || used > limit {
			nextReport = now.Add(reportInterval)
			g.machine.lab.logf("machine %d: memory %.1f MB of %d MB", g.machine.index, float64(used)/bytesPerMB, limit/bytesPerMB)
		}
		if used <= limit {
			continue
		}
		g.kills.Add(1)
		g.machine.lab.logf("machine %d: the platform kills the process, which exceeds the memory of its machine", g.machine.index)
		g.machine.kill()
		time.Sleep(restartDelay)
		if err := g.machine.run(false); err != nil {
			g.machine.lab.logf("machine %d: not started again: %v", g.machine.index, err)
			return
		}
		_ = g.machine.waitReady()
	}
}

func (g *memoryGuard) end() {
	close(g.stop)
	<-g.done
}

// memoryCase lets an untrusted client send heads to each of two machines while ordinary
// clients send orders. The memory of the machines must be enough. If keepsConnections, the
// client keeps each connection after the answer, and closes it otherwise.
func memoryCase(recordPath, head string, keepsConnections bool) (isBroken bool, err error) {
	l, err := newLab(recordPath, settings{memoryMB: machineMB, maxFDs: 4100, seeds: []int{0, 1}})
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
	var guards []*memoryGuard
	var clients sync.WaitGroup
	for _, m := range l.machines {
		g := m.guardMemory()
		guards = append(guards, g)
		clients.Go(func() { g.sendHeads(head, keepsConnections) })
	}
	clients.Wait()
	time.Sleep(time.Second)
	l.logAnswers(orders.end(), backends...)
	for _, g := range guards {
		g.end()
		l.logf("machine %d: highest memory %.1f MB of %d MB, killed %d times", g.machine.index, float64(g.highest)/bytesPerMB, machineMB, g.kills.Load())
		isBroken = isBroken || g.kills.Load() > 0
	}
	return isBroken, nil
}

// sendHeads sends heads until the process was killed killsOfFault times.
func (g *memoryGuard) sendHeads(head string, keepsConnections bool) {
	answers := map[string]int{}
	for n := 0; n < maxHeads && g.kills.Load() < killsOfFault; n++ {
		conn, line := g.machine.sendHead(head)
		answers[line]++
		if conn != nil && keepsConnections {
			defer conn.Close()
		} else if conn != nil {
			_ = conn.Close()
		}
	}
	g.machine.lab.logf("machine %d: answers to the untrusted client: %v", g.machine.index, answers)
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
		time.Sleep(sampleInterval)
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
