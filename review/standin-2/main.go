// Command standin2 plays the cases of this review with the project's own programs on loopback
// addresses. The platform's store, targets and clients are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const longest = 110 * time.Second // of a case

// stopEarly ends the processes of a case that is interrupted or takes too long.
func stopEarly(book *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	book.printf("the case is stopped early")
	if c := current.Load(); c != nil {
		c.stop(false)
	}
	os.Exit(failed)
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

// cases by name. Each returns an exit code.
var cases = map[string]func(repo string, book *record, trouble bool) (int, error){
	"long-stop":     longStop,
	"quiet-rollout": quietRollout,
	"killed-twice":  killedTwice,
	"tenant-name":   tenantName,
	"late-ready":    lateReady,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	book, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go stopEarly(book)
	code, err := play(os.Args[2], book, os.Getenv("TROUBLE") != "0")
	if err != nil {
		book.printf("the case couldn't run: %v", err)
		code = failed
	}
	book.printf("exit code %d", code)
	os.Exit(code)
}
