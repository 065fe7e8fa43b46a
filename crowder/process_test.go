package crowder_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	_ "apricotwinch/commander" // The program is built from it: the import keeps cached test results from becoming stale.
	"apricotwinch/standin/archiver"
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowder-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	program = filepath.Join(directory, "apricotwinch")
	build := exec.Command("go", "build", "-o", program, "apricotwinch/cmd/apricotwinch")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// Limits in the settings files of the processes, and what they allow.
const (
	memoryMB = 96
	maxFDs   = 400
	// configuredBodyBytes is the greatest length of a body that the configuration allows.
	configuredBodyBytes = 1 << 18
	// fileReserve is the number of descriptors that sockets may not take.
	fileReserve = 200
)

// Ports of every process. Each process has its own IP address.
const (
	portFront = 7800 + iota
	portReady
	portControl
	portPeer
	portMetrics
)

// Names of the deployment under test.
const (
	hostname = "crowd.example"
	service  = "crowded"
)

// waitLimit bounds every wait for a condition, so that a test that fails ends.
const waitLimit = 30 * time.Second

// deployments counts the deployments of this process. Each one uses its own range of loopback addresses.
var deployments atomic.Int64

// deployment is a store and the processes that use it.
type deployment struct {
	t            *testing.T
	directory    string
	network      string
	storeAddress string
}

// newDeployment starts a store with a configuration of one queue.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := archiver.New(clockwork.NewRealClock())
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	routes := []map[string]any{{
		"name": "urgent", "hostname": hostname, "path_prefix": "/urgent/", "service": service,
		"priority": 0, "max_attempts": 3, "stretch": 2, "target_latency_ms": 500, "timeout_ms": 3000,
	}}
	data, err := json.Marshal(map[string]any{"version": 1, "routes": routes, "limits": map[string]int{"body_bytes": configuredBodyBytes}})
	if err != nil {
		t.Fatal(err)
	}
	store.Publish("config", data)
	return &deployment{
		t:            t,
		directory:    t.TempDir(),
		network:      fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, deployments.Add(1)),
		storeAddress: strings.TrimPrefix(server.URL, "http://"),
	}
}

// process is a running program with what was seen of its use of memory and descriptors.
type process struct {
	t       *testing.T
	ip      string
	logFile string
	command *exec.Cmd
	exited  chan struct{}

	stopSampling chan struct{}
	sampled      chan struct{}
	// mostBytes is the greatest sum of the resident memory and the bytes that sockets hold unread.
	mostBytes       int64
	mostDescriptors int
	mostSockets     int
}

// start starts a program with the command of an entry or an agent, and samples what it uses until
// the test ends.
func (d *deployment) start(name, command string, host int) *process {
	d.t.Helper()
	p := &process{
		t: d.t, ip: fmt.Sprintf("%s.%d", d.network, host), logFile: filepath.Join(d.directory, name+".log"),
		exited: make(chan struct{}), stopSampling: make(chan struct{}), sampled: make(chan struct{}),
	}
	settings := map[string]any{
		"node_name": name, "ip": p.ip, "orders": "rpc",
		"listen_addrs":   map[string]string{"front": p.address(portFront), "ready": p.address(portReady), "control": p.address(portControl)},
		"internal_ports": []int{portPeer, portMetrics},
		"platform":       map[string]string{"address": d.storeAddress, "form": "log"},
		"limits":         map[string]any{"cpu_share": 0.5, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFDs},
		// A shorter time than the default only makes the tests shorter.
		"client_limits": map[string]any{"message_stall_ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
	log, err := os.Create(p.logFile)
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	p.command = exec.Command(program, command, "-source", p.ip)
	// The machines of the platform have one core.
	p.command.Env = append(os.Environ(), "APRICOTWINCH_NODE_FILE="+path, "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	go p.sample()
	d.t.Cleanup(func() { p.kill(); p.stopSampler() })
	return p
}

// startEntries starts an entry that owns the workloads, and another one that waits for its fall.
func (d *deployment) startEntries() (owner, other *process) {
	d.t.Helper()
	owner = d.start("owner", "platform-entry", 1)
	eventually(d.t, "ownership", owner.owns)
	eventually(d.t, "readiness", owner.ready)
	other = d.start("other", "platform-entry", 2)
	eventually(d.t, "readiness of the other entry", other.ready)
	return owner, other
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	if p.alive() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	<-p.exited
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stopSampler ends the sampling and waits for its end, after which the fields may be read.
func (p *process) stopSampler() {
	select {
	case <-p.stopSampling:
	default:
		close(p.stopSampling)
	}
	<-p.sampled
}

// sample records the greatest use of memory and descriptors until stopSampler is called.
func (p *process) sample() {
	defer close(p.sampled)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		sockets, descriptors := p.descriptors()
		p.mostSockets = max(p.mostSockets, len(sockets))
		p.mostDescriptors = max(p.mostDescriptors, descriptors)
		if resident, ok := p.statusBytes("VmRSS"); ok {
			p.mostBytes = max(p.mostBytes, resident+unreadBytes(sockets))
		}
		if peak, ok := p.statusBytes("VmHWM"); ok {
			p.mostBytes = max(p.mostBytes, peak)
		}
		select {
		case <-p.stopSampling:
			return
		case <-ticker.C:
		}
	}
}

// statusBytes returns a field of the process's status that holds an amount of memory. It returns false
// once the process has exited.
func (p *process) statusBytes(field string) (int64, bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, err == nil
		}
	}
	return 0, false
}

// descriptors returns the inodes of the process's sockets, and the number of all its descriptors.
func (p *process) descriptors() (map[string]bool, int) {
	directory := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, 0
	}
	sockets := map[string]bool{}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(directory, e.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, len(entries)
}

// unreadBytes returns how many bytes the sockets with the given inodes have received that the process has
// not read. They count toward the memory of a machine.
func unreadBytes(inodes map[string]bool) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const (
		stateField, queueField, inodeField = 3, 4, 9
		listening                          = "0A"
	)
	var total int64
	for scanner := bufio.NewScanner(bytes.NewReader(table)); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		// The receive queue of a listening socket is a number of connections.
		if len(fields) <= inodeField || !inodes[fields[inodeField]] || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += n
		}
	}
	return total
}

// log returns the log of the process.
func (p *process) log() string {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data)
}

// logs reports whether the log of the process has a text.
func (p *process) logs(text string) bool { return strings.Contains(p.log(), text) }

// logTail returns the end of the log for the message of a failed test.
func (p *process) logTail() string {
	const most = 2000
	text := p.log()
	return text[max(0, len(text)-most):]
}

// client sends the ordinary requests of a test, each on a connection of its own and from an address that
// no connection of a crowd has.
func client() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("%s: not within %s", what, waitLimit)
}

// ready reports whether an entry says that it can accept workloads.
func (p *process) ready() bool {
	response, err := client().Get("http://" + p.address(portReady) + "/apricotwinch/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// submits reports whether an entry accepts an ordinary workload of the given id and size of the body.
func (p *process) submits(id string, bodyBytes int) bool {
	body := fmt.Sprintf(`{"steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}],"task_spec":"%s"}`, strings.Repeat("x", bodyBytes))
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address(portFront)+"/urgent/"+id, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Host = hostname
	response, err := client().Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heartbeats reports whether an agent accepts an executor's heartbeat.
func (p *process) heartbeats() bool {
	body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"north","state":"ready","capacity":{"cpu":1000,"mem_mb":1000},"seq_num":1,"born":1}`, service)
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address(portControl)+"/apricotwinch/instances/executor", strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := client().Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// owns reports whether an entry has taken the ownership and not lost it.
func (p *process) owns() bool {
	text := p.log()
	return strings.Contains(text, "ownership taken") && !strings.Contains(text, "ownership lost")
}

// checkAlive checks that a process lives and has kept the limits of its settings file.
func (p *process) checkAlive() {
	p.t.Helper()
	alive := p.alive()
	p.stopSampler()
	p.t.Logf("%s: most memory %d MB, unread bytes included; most descriptors %d, of which sockets %d", filepath.Base(p.logFile), p.mostBytes>>20, p.mostDescriptors, p.mostSockets)
	if !alive {
		p.t.Errorf("the process ended\n%s", p.logTail())
	}
	if p.mostBytes > memoryMB<<20 {
		p.t.Errorf("most memory = %d MB, want at most limits.memory_mb, %d", p.mostBytes>>20, memoryMB)
	}
	if p.mostDescriptors > maxFDs || p.mostSockets > maxFDs-fileReserve {
		p.t.Errorf("most descriptors = %d, of which sockets %d; want at most limits.max_fds, %d, of which sockets %d",
			p.mostDescriptors, p.mostSockets, maxFDs, maxFDs-fileReserve)
	}
}

// crowd is a number of connections that stay open until the test ends.
type crowd struct {
	writers sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

// crowdAddresses is the number of addresses that a crowd comes from.
const crowdAddresses = 8

// newCrowd opens connections to address from crowdAddresses addresses. act sends on each what it will, and
// returns once it has sent all or fails to; the connections stay open.
func newCrowd(t *testing.T, address string, size int, act func(conn net.Conn, i int)) *crowd {
	t.Helper()
	return newCrowdFrom(t, func(i int) net.IP { return net.IPv4(127, 0, 1, byte(1+i%crowdAddresses)) }, address, size, act)
}

// maxScattered is the greatest number of connections of newScatteredCrowd.
const maxScattered = 250

// newScatteredCrowd is newCrowd with an address of its own for each of up to maxScattered connections.
func newScatteredCrowd(t *testing.T, address string, size int, act func(conn net.Conn, i int)) *crowd {
	t.Helper()
	return newCrowdFrom(t, func(i int) net.IP { return net.IPv4(127, 0, 2, byte(1+i)) }, address, size, act)
}

// newCrowdFrom is newCrowd with the address of each connection.
func newCrowdFrom(t *testing.T, from func(i int) net.IP, address string, size int, act func(conn net.Conn, i int)) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	for i := range size {
		c.writers.Go(func() {
			dialer := net.Dialer{Timeout: sendLimit, LocalAddr: &net.TCPAddr{IP: from(i)}}
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendLimit))
			act(conn, i)
		})
	}
	return c
}

// sendLimit is for how long a connection of a crowd tries to send.
const sendLimit = 10 * time.Second

// wait waits until each connection has sent what it can.
func (c *crowd) wait() { c.writers.Wait() }

// close closes all connections.
func (c *crowd) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.writers.Wait()
}
