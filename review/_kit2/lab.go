// Command cases plays the scripts of the second review: entries run as separate processes
// with the command of the deploy file, and the platform's store, backend servers and clients
// are stand-ins as the users' pages describe them.
package main

import (
	"encoding/json"
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

	"lentilpin/standin/store"
)

const (
	entryProgram  = "target/lentilpin-entry"
	operatorsPort = 9464
	startTimeout  = 15 * time.Second
	readyInterval = 20 * time.Millisecond
	bytesPerMB    = 1_000_000
	bytesPerKiB   = 1024
)

// settings are the parts of the settings files that differ between cases.
type settings struct {
	memoryMB, maxFDs int
	seeds            []int  // indexes of machines
	bounds           string // further members of bounds
	limitsMemory     bool   // whether processes run under a limit of memory
}

// memoryLimitFactor is the limit of a process, as a multiple of the memory of its machine. The
// limit also counts the address space that the process has reserved and does not use, 121 MB
// at rest.
const memoryLimitFactor = 2

// lab is one run of a case: the store, the machines and the record.
type lab struct {
	settings settings
	store    *store.Store
	machines []*machine
	dir      string
	subnet   int // of the machines' loopback addresses
	ports    []int
	start    time.Time

	mu     sync.Mutex
	record *os.File
}

// newLab starts an empty store and opens the record.
func newLab(recordPath string, s settings) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	l := &lab{settings: s, store: store.New(), dir: dir, subnet: 1 + os.Getpid()%250, ports: ports, start: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		l.close()
		os.Exit(exitNotRun)
	}()
	return l, nil
}

// close ends all processes and the store.
func (l *lab) close() {
	for _, m := range l.machines {
		m.kill()
	}
	l.store.Close()
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// logf writes a line to the record, with the seconds since the start.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

func freePorts(n int) ([]int, error) {
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// machine is one machine of the system and its process.
type machine struct {
	lab   *lab
	index int
	ip    string
	zone  string

	mu     sync.Mutex // guards what follows
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended; nil: it was never started
}

// addMachines adds machines without starting their processes. Each has a loopback address
// of its own; the ports are the same on all.
func (l *lab) addMachines(n int, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range n {
		i := len(l.machines)
		l.machines = append(l.machines, &machine{lab: l, index: i, ip: fmt.Sprintf("127.1.%d.%d", l.subnet, 10+i), zone: zone})
	}
}

// startAll starts all processes as at the first start of the whole system.
func (l *lab) startAll() error {
	for _, m := range l.machines {
		if err := m.run(true); err != nil {
			return err
		}
	}
	for _, m := range l.machines {
		if err := m.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.lab.ports[0]) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.lab.ports[1]) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.lab.ports[2]) }

// run starts the process with its settings file.
func (m *machine) run(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.lab.dir, fmt.Sprintf("entry-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := []string{entryProgram, "--operators-port", fmt.Sprint(operatorsPort)}
	if m.lab.settings.limitsMemory {
		kib := memoryLimitFactor * m.lab.settings.memoryMB * bytesPerMB / bytesPerKiB
		command = append([]string{"sh", "-c", `ulimit -d "$0" && exec "$@"`, fmt.Sprint(kib)}, command...)
	}
	cmd := exec.Command(command[0], command[1:]...)
	// A machine has one core.
	cmd.Env = append(os.Environ(), "LENTILPIN_CONFIG="+m.settingsPath(), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		m.lab.logf("machine %d: the process has ended: %s", m.index, cmd.ProcessState)
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.lab.logf("machine %d at %s: started", m.index, m.ip)
	return nil
}

func (m *machine) settingsPath() string {
	return filepath.Join(m.lab.dir, fmt.Sprintf("local-%d.json", m.index))
}

// writeSettings writes the settings file with the settings in effect now.
func (m *machine) writeSettings(bootstrap bool) error {
	text, err := m.settingsFile(bootstrap)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), text, 0o600)
}

func (m *machine) settingsFile(bootstrap bool) ([]byte, error) {
	l := m.lab
	seeds := []string{}
	for _, i := range l.settings.seeds {
		seeds = append(seeds, l.machines[i].control())
	}
	bounds := `{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":6,` +
		`"loss-slack-ms":200,"config-apply-ms":2000,"downgrade-slack-ms":250,"max-stretch-ms":5000,"retry-budget-ratio":0.2,` +
		`"retry-window-s":10,"retry-slack":64,"recovery-s":15,"probes-per-s":60` + l.settings.bounds + `}`
	return json.Marshal(map[string]any{
		"self": map[string]any{
			"node": fmt.Sprintf("front-%s-%d", m.zone, m.index), "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
			"ip": m.ip, "zone": m.zone, "region": "region-1", "in-tolerance": false, "bootstrap": bootstrap, "data-dir": nil,
			"limits": map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": l.settings.memoryMB, "max-fds": l.settings.maxFDs, "link-mbps": 1000.0, "disk-mb": 0},
		},
		"network": map[string]any{
			"listen":         map[string]string{"front": m.front(), "ready": m.ready(), "control": m.control()},
			"internal-ports": []int{min(l.ports[3], l.ports[4]), max(l.ports[3], l.ports[4])},
			"seeds":          seeds, "zones": map[string]string{"zone-a": "region-1", "zone-b": "region-1"},
		},
		"provider": map[string]any{
			"discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
			"provider": map[string]any{
				"address": l.store.Address(), "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
				"value-bytes": 1 << 20, "min-ttl-ms": 1000,
			},
		},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds":          json.RawMessage(bounds),
		},
	})
}

// process returns the latest process, and a channel that is closed when it has ended.
func (m *machine) process() (cmd *exec.Cmd, exited chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.exited
}

func (m *machine) isRunning() bool {
	_, exited := m.process()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.lab.logf("machine %d: %s", m.index, s)
	cmd, _ := m.process()
	_ = cmd.Process.Signal(s)
}

// kill ends the process as a loss of power does, and waits until it has ended.
func (m *machine) kill() {
	if m.isRunning() {
		cmd, exited := m.process()
		_ = cmd.Process.Kill()
		<-exited
	}
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready() + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if m.isReady() {
			m.lab.logf("machine %d: ready", m.index)
			return nil
		}
	}
	return fmt.Errorf("machine %d is not ready after %s", m.index, startTimeout)
}

// heapBytes returns the memory of the heap in use that the process states in its metrics; 0
// if there is no answer.
func (m *machine) heapBytes() float64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, operatorsPort))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	_, after, _ := strings.Cut(string(text), "\ngo_memstats_heap_inuse_bytes ")
	heap := 0.0
	_, _ = fmt.Sscan(after, &heap)
	return heap
}

// lastWords returns the first line that the process has written on its end as a fatal error.
func (m *machine) lastWords() string {
	text, _ := os.ReadFile(filepath.Join(m.lab.dir, fmt.Sprintf("entry-%d.log", m.index)))
	i := strings.LastIndex(string(text), "fatal error:")
	if i < 0 {
		return ""
	}
	line, _, _ := strings.Cut(string(text[i:]), "\n")
	return line
}
