// Command reviewkit runs the cases of the review: it starts entries as processes and plays
// the platform, the backends and the clients.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the platform's pages for the deployment that the cases play.
const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	beatPeriod  = 1500 * time.Millisecond
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is one small deployment.
type world struct {
	record   *record
	trouble  bool
	dir      string // temporary
	network  string // first three numbers of the loopback addresses
	store    *store
	backends []*backend
	entries  []*entry
	stopBeat chan struct{}

	zones      int
	maxBody    int // max-body-bytes of the configurations
	valueBytes int // value-bytes of the store
}

// cannotRun ends a case that could not be played.
func cannotRun(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// listen opens a listener on a free port of ip.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// newWorld starts a store. Every run uses other loopback addresses, so that the fixed port
// of the deploy file's command is free.
func newWorld(caseDir string) *world {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{
		record:  &record{file: file, start: time.Now()},
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, stopBeat: make(chan struct{}), zones: 3, maxBody: 1 << 20, valueBytes: 1 << 20,
		network: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/256%128, os.Getpid()%256),
	}
	w.store = newStore(w.network + "1")
	w.record.add("TROUBLE=%v", w.trouble)
	return w
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	close(w.stopBeat)
	for _, e := range w.entries {
		e.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// addBackends starts n backends of a service and registers them.
func (w *world) addBackends(n int, service string, work time.Duration) {
	for range n {
		i := len(w.backends)
		b := newBackend(w.record, w.network+"2", fmt.Sprintf("i-%08x", 0x7f3a91c2+i*0x01000193), service, w.zone(i), work)
		b.beat(w.store, "ready")
		w.backends = append(w.backends, b)
	}
}

// keepBeating renews all registrations until the world is closed.
func (w *world) keepBeating() {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-w.stopBeat:
			return
		case <-tick.C:
			for _, b := range w.backends {
				b.beat(w.store, "ready")
			}
		}
	}
}

// zone returns the zone of the machine or backend i.
func (w *world) zone(i int) string { return "zone-" + string(rune('a'+i%w.zones)) }

// entry is one process of the project.
type entry struct {
	world          *world
	name, zone, ip string
	seeds          []string
	program        string // in target/
	cmd            *exec.Cmd
	exited         chan struct{}
}

const (
	frontPort    = 8641
	readyPort    = 8640
	controlPort  = 8649
	firstOwnPort = 7620
	lastOwnPort  = 7635
)

// currentProgram is the program of the deploy file.
const currentProgram = "lentilpin-entry"

func (e *entry) settings() string { return filepath.Join(e.world.dir, e.name+".json") }

func (e *entry) front() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// startEntries starts n entries of a program at the same time, at the first start of the
// system.
func (w *world) startEntries(n int, program string) {
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.network, 11+i, controlPort))
	}
	for i := range n {
		e := &entry{
			world: w, program: program, zone: w.zone(i), seeds: seeds,
			name: fmt.Sprintf("front-%s-%d", w.zone(i), 1+i/w.zones), ip: fmt.Sprintf("%s%d", w.network, 11+i),
		}
		w.entries = append(w.entries, e)
		e.start(true)
	}
}

// writeSettings writes the settings file as the platform does.
func (e *entry) writeSettings(bootstrap bool) {
	w := e.world
	zones := map[string]string{}
	for i := range w.zones {
		zones[w.zone(i)] = "region"
	}
	text, _ := json.Marshal(map[string]any{
		"self": map[string]any{
			"node": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"}, "ip": e.ip,
			"zone": e.zone, "region": "region", "in-tolerance": false, "bootstrap": bootstrap, "data-dir": nil,
			"limits": map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		},
		"network": map[string]any{
			"listen": map[string]any{
				"front": e.front(), "ready": fmt.Sprintf("%s:%d", e.ip, readyPort), "control": fmt.Sprintf("%s:%d", e.ip, controlPort),
			},
			"internal-ports": []int{firstOwnPort, lastOwnPort}, "seeds": e.seeds,
			"zones": zones,
		},
		"provider": map[string]any{
			"discovery": "platform", "entry": "vip", "heartbeat-ms": beatPeriod.Milliseconds(),
			"provider": map[string]any{
				"address": w.store.address(), "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": historyTime.Seconds(),
				"value-bytes": w.valueBytes, "min-ttl-ms": 1000,
			},
		},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"fault-tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contact.Milliseconds(), "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
				"grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": configApply.Milliseconds(), "downgrade-slack-ms": 250, "max-stretch-ms": 5000,
				"retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-slack": 64, "recovery-s": 15, "probes-per-s": 60,
			},
		},
	})
	if err := os.WriteFile(e.settings(), text, 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the process with the command of the deploy file, in the repository root.
func (e *entry) start(bootstrap bool) {
	e.writeSettings(bootstrap)
	e.cmd = exec.Command("target/"+e.program, "--operators-port", "9464")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.world.dir, "LANG=C", "LENTILPIN_CONFIG=" + e.settings()}
	log, err := os.OpenFile(filepath.Join(e.world.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		cannotRun("start of an entry: %v", err)
	}
	e.exited = make(chan struct{})
	go func() {
		_ = e.cmd.Wait()
		_ = log.Close()
		close(e.exited)
	}()
	e.world.record.add("start      %s, %s", e.name, e.program)
}

// graceTime is the bound grace-s.
const graceTime = 6 * time.Second

// replace stops the machine's process as planned and starts a program in its place.
func (e *entry) replace(program string) {
	e.world.record.add("SIGTERM    %s, %s", e.name, e.program)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(graceTime):
		e.kill()
	}
	e.program = program
	e.start(false)
}

// kill ends the process, also if it is stopped.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// isReady asks the readiness check of the entry, as the platform does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitUntilReady waits until all entries say that they are ready.
func (w *world) waitUntilReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				cannotRun("%s is not ready in time", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.add("all entries are ready")
}

// client is one connection of a client.
type client struct {
	world *world
	conn  net.Conn
	in    *bufio.Reader
}

// connect makes a connection to an entry.
func (w *world) connect(e *entry) *client {
	conn, err := net.DialTimeout("tcp", e.front(), time.Second)
	if err != nil {
		cannotRun("connect to %s: %v", e.name, err)
	}
	return &client{w, conn, bufio.NewReader(conn)}
}

// request returns the text of a request.
func request(method, host, target, id string, headers, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n%s%s\r\n%s", method, target, host, id, headers, length, body)
}

// answer is what a client has read.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + reason(a.err)
	}
	return fmt.Sprintf("%d, signature %q, Request-Id %q, body of %d bytes", a.status, a.signature, a.id, len(a.body))
}

// reason returns the cause of an error without addresses.
func reason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// send writes text to the connection.
func (c *client) send(what, text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.world.record.add("sent       %s in part: %s", what, reason(err))
		return
	}
	c.world.record.add("sent       %s", what)
}

// receive reads one answer.
func (c *client) receive(what, method string, timeout time.Duration) (a answer) {
	defer func() { c.world.record.add("answered   %s: %s", what, a) }()
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Backend-Signature"), resp.Header.Get("Request-Id"), body.String(), err}
}

// closeSending closes the sending side of the connection.
func (c *client) closeSending(what string) {
	_ = c.conn.(*net.TCPConn).CloseWrite()
	c.world.record.add("half-close of the connection of %s", what)
}

// runs returns all runs of a request.
func (w *world) runs(id string) (out []run) {
	for _, b := range w.backends {
		for _, r := range b.runsOf() {
			if r.id == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// play runs a case and returns its exit code.
func play(caseDir string, f func(w *world) int) (code int) {
	var w *world
	defer func() {
		if failure := recover(); failure != nil {
			if w != nil {
				w.record.add("could not run: %v", failure)
			}
			fmt.Fprintln(os.Stderr, "could not run:", failure)
			code = notRun
		}
		if w != nil {
			w.close()
		}
	}()
	w = newWorld(caseDir)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.record.add("interrupted")
		w.close()
		os.Exit(notRun)
	}()
	code = f(w)
	w.record.add("exit code %d", code)
	return code
}

func main() {
	if len(os.Args) != 3 || allCases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[2], allCases[os.Args[1]]))
}
