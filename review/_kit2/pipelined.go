package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	pipelinedClients = 10
	firstWorkMS      = 100
	secondWorkMS     = 3600
	stopAfter        = 700 * time.Millisecond
)

func readsConfiguration() []byte {
	return fmt.Appendf(nil, `{"version":"0000000c","limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "listeners":[{"host":%q,"policy":[
  {"name":"r-read","kind":"safe","target-latency-ms":4000,"priority":1,"match":{"path-prefix":"/read/"},"action":{"service":"stock","timeout-ms":5000,"max-attempts":2}}]}],
 "clusters":[{"name":"stock","health-path":"/health","max-conns":260}]}`, shopHost)
}

// pipelined stops a machine while the second of two requests that clients have sent at once
// is at work. It would end long before the end of the grace time.
func pipelined(recordPath string, hasTrouble bool) (isBroken bool, err error) {
	l, err := newLab(recordPath, settings{memoryMB: machineMB, maxFDs: 4100, seeds: []int{0, 1}})
	if err != nil {
		return false, err
	}
	defer l.close()
	l.store.Put("op/config", readsConfiguration())
	var backends []*backend
	for i := range 4 {
		b, err := l.startBackend(fmt.Sprintf("s%d", i), "stock", "zone-a", 0)
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
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range pipelinedClients {
		clients.Go(func() {
			if !l.sendPipelined(l.machines[0], fmt.Sprintf("read-%d", i), backends) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(stopAfter)
	if hasTrouble {
		l.machines[0].signal(syscall.SIGTERM)
	}
	clients.Wait()
	l.logf("requests that ran and got no answer: %d of %d", lost, 2*pipelinedClients)
	return lost > 0, nil
}

// sendPipelined sends two requests on one connection at once. It returns false if one of them
// ran and its connection ended without an answer.
func (l *lab) sendPipelined(m *machine, id string, backends []*backend) bool {
	conn, err := net.Dial("tcp", m.front())
	if err != nil {
		l.logf("%s: no connection: %v", id, err)
		return true
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	text := ""
	for i, work := range []int{firstWorkMS, secondWorkMS} {
		text += fmt.Sprintf("GET /read/a?work-ms=%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s-%d\r\nDeadline-Ms: 4800\r\n\r\n", work, shopHost, id, i)
	}
	_, _ = io.WriteString(conn, text)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			ran := false
			for _, b := range backends {
				ran = ran || b.hasRun(fmt.Sprintf("%s-%d", id, i))
			}
			l.logf("%s-%d: the connection ended without an answer (%v); run: %t", id, i, err, ran)
			return !ran
		}
		l.logf("%s-%d: %d", id, i, resp.StatusCode)
		if resp.Close {
			return true
		}
	}
	return true
}
