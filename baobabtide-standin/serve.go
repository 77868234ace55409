package main

import (
	"os"
	"os/signal"
	"syscall"
)

// waitForSignal returns once the process is told to stop.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
