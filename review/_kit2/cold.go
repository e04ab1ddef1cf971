package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	warmupTime       = 3 * time.Second
	warmupPerS       = 6.3
	warmupOvershoot  = 1.5
	warmupSlack      = 8.0
	coldMachines     = 20 // at the start
	coldSeeds        = 3  // of these, the first ones; they are removed
	coldAdded        = 10 // machines that are added
	crashDelay       = 800 * time.Millisecond
	seedLag          = 3 * time.Second // after which settings name other seeds
	coldDownTime     = 2 * time.Second
	coldOrdersPerSec = 160
)

func coldConfiguration() []byte {
	return fmt.Appendf(nil, `{"version":"0000000c","limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "listeners":[{"host":%q,"policy":[
  {"name":"r-order","kind":"unsafe","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/order/"},"action":{"service":"orders","timeout-ms":1500,"max-attempts":2}}]}],
 "clusters":[{"name":"orders","health-path":"/health","max-conns":1120,"warmup-s":3,"warmup-per-s":%g}]}`, shopHost, warmupPerS)
}

// cold counts the requests to cold backend servers. The machines that are seeds are removed in
// a planned stop, and others are added, whose settings name the removed ones until the seeds
// have been updated. Without the disruption, they name machines that stay.
func cold(recordPath string, hasTrouble bool) (isBroken bool, err error) {
	l, err := newLab(recordPath, settings{
		memoryMB: 536, maxFDs: 8192, seeds: []int{0, 1, 2},
		bounds: fmt.Sprintf(`,"warmup-overshoot":%g,"warmup-slack":%g`, warmupOvershoot, warmupSlack),
	})
	if err != nil {
		return false, err
	}
	defer l.close()
	l.store.Put("op/config", coldConfiguration())
	var inA, all []*backend
	for i := range 4 {
		zone := []string{"zone-a", "zone-b"}[i%2]
		b, err := l.startBackend(fmt.Sprintf("warm%d", i), "orders", zone, 0)
		if err != nil {
			return false, err
		}
		defer b.close()
		if all = append(all, b); zone == "zone-a" {
			inA = append(inA, b)
		}
	}
	l.addMachines(coldMachines, "zone-a")
	if err := l.startAll(); err != nil {
		return false, err
	}
	orders := l.startTraffic(coldOrdersPerSec)
	time.Sleep(6 * time.Second)
	l.removeSeeds()
	begin := time.Now()
	newSeeds := []int{coldSeeds, coldSeeds + 1, coldSeeds + 2}
	if !hasTrouble {
		l.settings.seeds = newSeeds
	}
	if err := l.addAndStart(coldAdded, "zone-a"); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begin.Add(crashDelay)))
	l.logf("the backend servers of zone-a go down and come back together, cold")
	for _, b := range inA {
		b.crash()
	}
	time.Sleep(coldDownTime)
	var returned []*backend
	for i := range inA {
		b, err := l.startBackend(fmt.Sprintf("cold%d", i), "orders", "zone-a", warmupTime)
		if err != nil {
			return false, err
		}
		defer b.close()
		returned = append(returned, b)
	}
	time.Sleep(time.Until(begin.Add(seedLag)))
	l.settings.seeds = newSeeds
	for _, m := range l.machines[coldSeeds:] {
		if err := m.writeSettings(false); err != nil {
			return false, err
		}
	}
	l.logf("the settings files of all machines name machines %v as seeds", newSeeds)
	time.Sleep(warmupTime + 500*time.Millisecond)
	l.logAnswers(orders.end(), append(all, returned...)...)
	bound := warmupPerS*warmupOvershoot + warmupSlack
	for _, b := range returned {
		most, at := b.busiestColdSecond()
		l.logf("backend %s: most requests in one second while it was cold: %d, from %.3f s on; the bound is %.2f", b.id, most, at.Sub(l.start).Seconds(), bound)
		isBroken = isBroken || float64(most) > bound
		for _, a := range b.arrivals {
			l.logf("backend %s: %s arrived at %.3f s", b.id, a.id, a.at.Sub(l.start).Seconds())
		}
	}
	return isBroken, nil
}

// removeSeeds stops the seeds as the platform does for good, and returns when they have ended.
func (l *lab) removeSeeds() {
	for _, m := range l.machines[:coldSeeds] {
		m.signal(syscall.SIGTERM)
	}
	for _, m := range l.machines[:coldSeeds] {
		_, exited := m.process()
		<-exited
	}
}

// addAndStart adds machines and starts their processes, with the settings in effect now.
func (l *lab) addAndStart(n int, zone string) error {
	known := len(l.machines)
	l.addMachines(n, zone)
	for _, m := range l.machines[known:] {
		if err := m.run(false); err != nil {
			return err
		}
	}
	for _, m := range l.machines[known:] {
		if err := m.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// busiestColdSecond returns the largest number of requests that arrived within a second
// while the backend server was cold, and the start of that second.
func (b *backend) busiestColdSecond() (most int, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, first := range b.arrivals {
		n := 0
		for _, a := range b.arrivals[i:] {
			if a.at.Before(b.coldUntil) && a.at.Sub(first.at) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first.at
		}
	}
	return most, at
}
