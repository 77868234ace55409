// Package btdeploy runs a deployment as local processes on loopback addresses:
// the stand-in for the platform's log, backend-server stand-ins, nodes and,
// to simulate network faults, a relay.
package btdeploy

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const stopTimeout = 30 * time.Second // from SIGTERM until the process is killed

// process is a started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has exited
}

// starter starts all processes from one locked OS thread, because the kernel
// kills a process with Pdeathsig when the thread that started it exits.
type starter struct {
	jobs chan func()
}

// newStarter returns a starter and a function that ends its thread, and with it
// the processes that are still running.
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

// outputPath returns the path of the file in dir with the output of a process.
func outputPath(dir, name string) string { return filepath.Join(dir, name+".log") }

// start starts a program and appends its output to the file name.log in dir.
func (s *starter) start(dir, name, program string, args ...string) (*process, error) {
	output, err := os.OpenFile(outputPath(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// runDelay returns how long the threads of the process, those that still exist, have waited
// for a processor in total. It fails if the system does not tell.
func (p *process) runDelay() (time.Duration, error) {
	const fields = 3 // nanoseconds on a processor, nanoseconds waiting for one, number of time slices
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("threads of %s: %w", p.name, err)
	}
	var total time.Duration
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has ended
		}
		if err != nil {
			return 0, fmt.Errorf("threads of %s: %w", p.name, err)
		}
		numbers := strings.Fields(string(text))
		if len(numbers) != fields {
			return 0, fmt.Errorf("threads of %s: %d fields in %s, want %d", p.name, len(numbers), path, fields)
		}
		nanos, err := strconv.ParseInt(numbers[1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("threads of %s: %w", p.name, err)
		}
		total += time.Duration(nanos)
	}
	return total, nil
}

// stop terminates the process by SIGTERM, kills it after stopTimeout, and waits
// until it has exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
