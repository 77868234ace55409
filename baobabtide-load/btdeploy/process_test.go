package btdeploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// The time that a process has waited for a processor is read for a running process, and is
// zero for one that has ended.
func TestRunDelay(t *testing.T) {
	s, stop := newStarter()
	defer stop()
	p, err := s.start(t.TempDir(), "sleep", "sleep", "60")
	if err != nil {
		t.Fatal(err)
	}
	self := &process{name: filepath.Base(os.Args[0]), cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	for _, tt := range []struct {
		name string
		p    *process
	}{{"one thread", p}, {"many threads", self}} {
		if delay, err := tt.p.runDelay(); err != nil || delay < 0 || delay > time.Hour {
			t.Errorf("%s: waited %s, error %v", tt.name, delay, err)
		}
	}
	p.kill()
	if delay, err := p.runDelay(); err != nil || delay != 0 {
		t.Errorf("after the end: waited %s, error %v", delay, err)
	}
}
