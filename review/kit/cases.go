package main

import (
	"fmt"
	"strings"
	"time"
)

var allCases = map[string]func(w *world) int{
	"unreadable-entries": unreadableEntries,
	"last-route":         lastRoute,
	"smuggled-request":   smuggledRequest,
	"upgrade":            upgrade,
	"long-timeout":       longTimeout,

	"half-close": halfClose, // an observation of REPORT.md, no case of its own
}

const (
	orderHost    = "jepu9.example"
	orderService = "wuno96b"
	orderRoute   = `{"name":"r-order","kind":"unsafe","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/puka111/"},"action":{"service":"wuno96b","timeout-ms":1500,"max-attempts":2}}`
	readHost     = "hulo84.example"
	readService  = "huvo11a"
	readRoute    = `{"name":"r-read","kind":"safe","target-latency-ms":400,"priority":2,"match":{"path-prefix":"/leny950/"},"action":{"service":"huvo11a","timeout-ms":%d,"max-attempts":2}}`

	usualTimeoutMS = 1200
	answerTimeout  = 3 * time.Second // of the stand-ins for clients; above every deadline that they state
	order          = "two pallets"
)

// listener returns the text of one listener with its rules.
func listener(host string, rules ...string) string {
	return fmt.Sprintf(`{"host":%q,"policy":[%s]}`, host, strings.Join(rules, ","))
}

// bothRoutes returns the listeners of the usual configuration.
func bothRoutes() []string {
	return []string{listener(orderHost, orderRoute), readListener(usualTimeoutMS)}
}

func readListener(timeoutMS int) string { return listener(readHost, fmt.Sprintf(readRoute, timeoutMS)) }

// configuration returns the text of a configuration.
func (w *world) configuration(version int, listeners ...string) []byte {
	return fmt.Appendf(nil, `{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"listeners":[%s],"clusters":[{"name":%q,"health-path":"/health","max-conns":260,"protocol":"h1","tls":false},`+
		`{"name":%q,"health-path":"/health","max-conns":260,"protocol":"h1","tls":false}]}`,
		version, w.maxBody, strings.Join(listeners, ","), readService, orderService)
}

// smallDeployment starts a deployment of the current build. When it returns, the machines
// are in touch.
func (w *world) smallDeployment(entries int, work time.Duration, config []byte) {
	w.deployment(entries, currentProgram, work, config)
}

// deployment is smallDeployment for a program.
func (w *world) deployment(entries int, program string, work time.Duration, config []byte) {
	w.store.put("op/config", config)
	w.addBackends(3, orderService, work)
	w.addBackends(3, readService, work)
	go w.keepBeating()
	w.startEntries(entries, program)
	w.waitUntilReady()
	time.Sleep(contact + time.Second)
}

// sendOrder sends an order to an entry on a connection of its own.
func (w *world) sendOrder(e *entry, id string) answer {
	c := w.connect(e)
	defer c.conn.Close()
	c.send(id, request("POST", orderHost, "/puka111/1", id, "", order))
	return c.receive(id, "POST", answerTimeout)
}

// sendRead does the same with a read.
func (w *world) sendRead(e *entry, id string) answer {
	c := w.connect(e)
	defer c.conn.Close()
	c.send(id, request("GET", readHost, "/leny950/1", id, "", ""))
	return c.receive(id, "GET", answerTimeout)
}

// dropsOrderRoute publishes a configuration without the route of the orders and counts the
// orders that are run by this route later than config-apply-ms after the acknowledgement.
func (w *world) dropsOrderRoute(listeners ...string) int {
	for i, e := range w.entries {
		if w.sendOrder(e, fmt.Sprintf("before-%d", i)).status != 200 {
			cannotRun("orders are not served before the change")
		}
	}
	w.store.put("op/config", w.configuration(9, listeners...))
	acknowledged := time.Now()
	w.record.add("op/config  version 00000009 is acknowledged, listeners: [%s]", strings.Join(listeners, ","))
	broken := 0
	for round := range 6 {
		time.Sleep(time.Until(acknowledged.Add(configApply + time.Second + time.Duration(round)*2*time.Second)))
		for i, e := range w.entries {
			id := fmt.Sprintf("after-%d-%d", round, i)
			a := w.sendOrder(e, id)
			if n := len(w.runs(id)); n > 0 {
				broken++
				w.record.add("BROKEN     CONFIG: %s was run %d times by the route that version 00000009 has dropped, answer %d", id, n, a.status)
			}
		}
	}
	return broken
}

func verdict(broken int) int {
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// lastRoute: the operator removes the last route. Without the trouble another route stays.
func lastRoute(w *world) int {
	w.smallDeployment(3, 50*time.Millisecond, w.configuration(7, listener(orderHost, orderRoute)))
	left := []string{listener(orderHost)}
	if !w.trouble {
		left = append(left, readListener(usualTimeoutMS))
	}
	return verdict(w.dropsOrderRoute(left...))
}

// longTimeout: a version that removes a route sets a time-out of 15 minutes on another one.
func longTimeout(w *world) int {
	w.smallDeployment(3, 50*time.Millisecond, w.configuration(7, bothRoutes()...))
	timeoutMS := 900_000
	if !w.trouble {
		timeoutMS = usualTimeoutMS + 100
	}
	return verdict(w.dropsOrderRoute(readListener(timeoutMS)))
}

// smuggledRequest: an order behind a read in the same write states two lengths; by the first
// one another order is its body. Without the trouble it states that length only.
func smuggledRequest(w *world) int {
	w.smallDeployment(1, 50*time.Millisecond, w.configuration(7, bothRoutes()...))
	inner := request("POST", orderHost, "/puka111/inner", "inner-1", "", "hidden order")
	body := "0\r\n\r\n" + inner
	headers := ""
	if w.trouble {
		headers = "Transfer-Encoding: chunked\r\n"
	}
	outer := request("POST", orderHost, "/puka111/outer", "outer-1", headers, body)
	first := request("GET", readHost, "/leny950/1", "first-1", "", "")
	c := w.connect(w.entries[0])
	defer c.conn.Close()
	c.send("first-1, and outer-1 in the same write", first+outer)
	if a := c.receive("first-1", "GET", answerTimeout); a.status != 200 {
		cannotRun("the read is not served")
	}
	for range 2 {
		if c.receive("outer-1, or what follows it", "POST", time.Second).err != nil {
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	n := len(w.runs("inner-1"))
	if n > 0 {
		w.record.add("BROKEN     UNASKED: inner-1, the body of outer-1 by its Content-Length, was run %d times as a request", n)
	}
	return verdict(n)
}

// halfClose: clients close their sending side and wait for the answer.
func halfClose(w *world) int {
	w.smallDeployment(1, 50*time.Millisecond, w.configuration(7, bothRoutes()...))
	broken := 0
	for i := range 10 {
		id := fmt.Sprintf("read-%d", i)
		c := w.connect(w.entries[0])
		c.send(id, request("GET", readHost, "/leny950/1", id, "", ""))
		if w.trouble {
			c.closeSending(id)
		}
		a := c.receive(id, "GET", answerTimeout)
		_ = c.conn.Close()
		if a.err == nil && a.status/100 == 2 && a.signature == "" {
			broken++
			w.record.add("BROKEN     MIXED: %s has a success without the signature of a backend", id)
		}
	}
	return verdict(broken)
}

// unreadable returns the value of an entry that cannot be read: as long as the store allows,
// or short without the trouble.
func (w *world) unreadable() []byte {
	size := 64
	if w.trouble {
		size = w.valueBytes
	}
	return []byte(strings.Repeat("\xa5", size))
}

// unreadableEntries: another writer renews its entries, which cannot be read, while the
// operator removes a route.
func unreadableEntries(w *world) int {
	const entries = 8
	w.store.staleness = 2 * time.Second
	w.smallDeployment(3, 50*time.Millisecond, w.configuration(7, bothRoutes()...))
	value := w.unreadable()
	w.record.add("store      the other writer renews %d entries of %d bytes every %v", entries, len(value), beatPeriod)
	go func() {
		tick := time.NewTicker(beatPeriod)
		defer tick.Stop()
		for {
			for i := range entries {
				w.store.put(fmt.Sprintf("servers/x-%04d", i), value)
			}
			select {
			case <-w.stopBeat:
				return
			case <-tick.C:
			}
		}
	}()
	time.Sleep(2 * contact)
	return verdict(w.dropsOrderRoute(readListener(usualTimeoutMS)))
}

// olderProgram is the build b3111bb, which landed before.
const olderProgram = "lentilpin-entry-b3111bb"

// upgrade: machines are replaced by ones of the current build one after another; before the
// last one the operator removes a route. Without the trouble they are restarted with the
// older build.
func upgrade(w *world) int {
	const machines = 12
	w.zones = 1
	w.deployment(machines, olderProgram, 50*time.Millisecond, w.configuration(7, bothRoutes()...))
	program := currentProgram
	if !w.trouble {
		program = olderProgram
	}
	for _, e := range w.entries[1:] {
		e.replace(program)
	}
	w.waitUntilReady()
	time.Sleep(contact + time.Second)
	return verdict(w.dropsOrderRoute(readListener(usualTimeoutMS)))
}
