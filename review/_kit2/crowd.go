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
	smallMachineMB  = 136
	smallMachineFDs = 2870
	crowdSize       = 400
	crowdTime       = 20 * time.Second
	overLimitBytes  = 1_200_000
)

// shortFields returns header fields of about n bytes in all, with short distinct names and
// empty values.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var out strings.Builder
	for i := 0; out.Len() < n; i++ {
		for k := i; ; k /= len(letters) {
			out.WriteByte(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
		out.WriteString(":\r\n")
	}
	return out.String()
}

// crowdOfHeads lets many untrusted clients send heads over the limit to one of two machines
// at once, each client one after another, while ordinary clients send orders. The memory of
// the machine must be enough.
func crowdOfHeads(recordPath string, hasTrouble bool) (isBroken bool, err error) {
	l, err := newLab(recordPath, settings{memoryMB: smallMachineMB, maxFDs: smallMachineFDs, seeds: []int{0, 1}, limitsMemory: true})
	if err != nil {
		return false, err
	}
	defer l.close()
	l.store.Put("op/config", ordersConfiguration())
	b, err := l.startBackend("s0", "orders", "zone-a", 0)
	if err != nil {
		return false, err
	}
	defer b.close()
	l.addMachines(2, "zone-a")
	if err := l.startAll(); err != nil {
		return false, err
	}
	size := shortBytes
	if hasTrouble {
		size = overLimitBytes
	}
	head := "GET /nothing/here HTTP/1.1\r\nHost: " + shopHost + "\r\nRequest-Id: foreign\r\n" + shortFields(size) + "\r\n"
	orders := l.startTraffic(ordersPerSecond)
	time.Sleep(2 * time.Second)
	l.logf("%d clients send heads of %d bytes with %d lines to machine 0; the limit is %d", crowdSize, len(head), strings.Count(head, "\r\n"), maxHeaderBytes)
	supervisor := l.machines[0].supervise()
	var crowd sync.WaitGroup
	var sent, answered atomic.Int64
	end := time.Now().Add(crowdTime)
	for range crowdSize {
		crowd.Go(func() {
			for time.Now().Before(end) && supervisor.ends.Load() == 0 {
				sent.Add(1)
				if l.machines[0].sendUntilAnswer(head) {
					answered.Add(1)
				}
			}
		})
	}
	crowd.Wait()
	l.logAnswers(orders.end(), b)
	l.logf("heads begun to machine 0: %d, answered: %d", sent.Load(), answered.Load())
	return supervisor.end(), nil
}

// sendUntilAnswer sends a head on a new connection until it is sent or the connection is
// closed, and reports whether there was an answer.
func (m *machine) sendUntilAnswer(head string) bool {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		time.Sleep(dialPause)
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(conn, head); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}
