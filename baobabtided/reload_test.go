package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btsettings"
)

// lines collects what a logger writes.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), event)
}

const reloadSettings = `{"Node":{"Name":"n","Zone":"z"},"Caller":{"Listen":"127.0.0.1:0"},"Backend":{"Listen":"127.0.0.1:0","Service":%q},
"Operator":{"Listen":"127.0.0.1:0"},"Peer":{"Listen":"127.0.0.1:0"},"Platform":{"Addresses":["127.0.0.1:1"]},"TLS":{"Plaintext":true}}`

// A process took SIGHUP, by which its users tell of changed settings, for its
// end.
func TestSettingsAreFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(reloadSettings, "a"))
	known := stampOf(path)
	settings, err := btsettings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	var out lines
	log := zerolog.New(&out)
	node, free, err := btnode.New(settings, log)
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		followSettings(ctx, path, known, node, log)
		close(ended)
	}()
	await := func(event string, count int) {
		t.Helper()
		for deadline := time.Now().Add(patience); out.count(event) < count; time.Sleep(checkPeriod) {
			if time.Now().After(deadline) {
				t.Fatalf("%s was not logged %d times", event, count)
			}
		}
	}
	write(fmt.Sprintf(reloadSettings, "bcd")) // without a signal
	await(`"settings.reloaded","backend-changed":true,"service":"bcd"`, 1)
	write(`{"Node":`)
	await("settings.refused", 1)
	write(fmt.Sprintf(reloadSettings, "ef"))
	await(`"service":"ef"`, 1)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await(`"backend-changed":false,"service":"ef"`, 1)
	cancel()
	<-ended
}
