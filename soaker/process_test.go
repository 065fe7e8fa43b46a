package soaker_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	_ "apricotwinch/commander" // The programs are built from it: results are cached by it.
)

// binary is the built program.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "soaker-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "apricotwinch")
	build := exec.Command("go", "build", "-o", binary, "apricotwinch/cmd/apricotwinch")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// stopTimeout bounds a graceful shutdown before the process is killed, as on the
// platform.
const stopTimeout = 6 * time.Second

// process is one program that is started again whenever it ends.
type process struct {
	t         *testing.T
	name      string
	arguments []string
	settings  string
	logFile   string

	// alone is held by a fault that stops or pauses the process.
	alone sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// start starts the program; its output is added to the log.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer log.Close()
	command := exec.Command(binary, p.arguments...)
	// The platform's machines have one core.
	command.Env = append(os.Environ(), "APRICOTWINCH_NODE_FILE="+p.settings, "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// signal sends a signal to the process by its id.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate asks the process to end, and kills it when it does not.
func (p *process) terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// replace shuts the program down and starts it again.
func (p *process) replace() {
	p.alone.Lock()
	defer p.alone.Unlock()
	p.terminate()
	p.start()
}
