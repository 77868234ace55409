// Command standin plays the cases of the review. It starts the project's nodes as processes and
// is itself the store, the targets, the clients and the operator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

const caseTimeout = 110 * time.Second

// cases are the functions that play a case. They return what broke the rule, empty for nothing.
var cases = map[string]func(c *cluster, trouble bool) (string, error){
	"orderback":    orderBack,
	"rerelease":    rerelease,
	"ordercurrent": orderCurrent,
	"vanished":     vanished,
	"latebeat":     lateBeat,
	"config":       refusedConfig,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names and writes record.txt to the folder that the
// second names.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, at the root of the repository")
		return exitError
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer rec.close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c, err := newCluster(ctx, root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer c.close()
	finished := make(chan struct{})
	defer close(finished)
	go func() { // ends a case that was interrupted or takes too long
		<-ctx.Done()
		select {
		case <-finished:
		default:
			c.close()
			rec.close()
			os.Exit(exitError)
		}
	}()
	broken, err := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		rec.event("error", err)
		fmt.Fprintln(os.Stderr, err)
		return exitError
	case broken != "":
		rec.event("broken", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.event("held", "the rule held")
	fmt.Println("held")
	return exitHeld
}
