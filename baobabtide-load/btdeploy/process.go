// Package btdeploy runs a deployment as plain processes on loopback: the
// stand-in for the platform's log, backend-server stand-ins, nodes and, where
// the network is to fail, a relay.
package btdeploy

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const stopTimeout = 30 * time.Second

// process is one started process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
}

// starter starts processes from one thread for as long as it runs, because the
// kernel ends them when the thread that started them ends.
type starter struct {
	jobs chan func()
}

func newStarter() (*starter, func()) {
	s := &starter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s, sync.OnceFunc(func() { close(s.jobs) })
}

// start runs a program whose output goes to a file in a folder.
func (s *starter) start(dir, name, program string, args ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	defer output.Close()
	p := &process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	s.jobs <- func() { result <- p.cmd.Start() }
	if err := <-result; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// running tells whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stop ends a process in a planned way and kills it if that takes too long.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill ends a process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
