package main

import (
	"os"
	"os/signal"
	"syscall"
)

// waitForSignal blocks until the process receives SIGINT or SIGTERM.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
