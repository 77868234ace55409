package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide/btlog"
)

// signalNames holds the signals that signalOwner receives, with their names. SIGPIPE is
// not among them, because each write to a closed connection raises it. SIGQUIT keeps the
// runtime's action, a dump of all stacks.
var signalNames = map[os.Signal]string{
	syscall.SIGHUP:  "SIGHUP",
	syscall.SIGINT:  "SIGINT",
	syscall.SIGTERM: "SIGTERM",
	syscall.SIGUSR1: "SIGUSR1",
	syscall.SIGUSR2: "SIGUSR2",
}

// Actions on a signal.
const (
	actionReload = "reload" // read the settings file again
	actionStop   = "stop"   // begin a planned stop
	actionNone   = "none"
)

// signalOwner receives the signals of the process until it exits. The signals are never
// given back: their default action would end the process and cut its requests.
type signalOwner struct {
	reloads chan struct{}       // receives a value on SIGHUP, unless one is pending
	loggers chan zerolog.Logger // logger to use from now on
	ended   chan struct{}       // closed once the node has ended, which leaves nothing to reload or stop

	received chan os.Signal
	stop     context.CancelFunc
}

// ownSignals starts a signalOwner, which writes a line to log for each signal. The
// returned context ends with the first SIGINT or SIGTERM.
func ownSignals(log zerolog.Logger) (context.Context, *signalOwner) {
	ctx, stop := context.WithCancel(context.Background())
	s := &signalOwner{
		reloads:  make(chan struct{}, 1),
		loggers:  make(chan zerolog.Logger),
		ended:    make(chan struct{}),
		received: make(chan os.Signal, 16),
		stop:     stop,
	}
	signal.Ignore(syscall.SIGPIPE)
	for owned := range signalNames {
		signal.Notify(s.received, owned)
	}
	go s.run(ctx, log)
	return ctx, s
}

// run handles the signals. It never ends.
func (s *signalOwner) run(ctx context.Context, log zerolog.Logger) {
	for {
		select {
		case log = <-s.loggers:
		case received := <-s.received:
			log.Info().Str("event", string(btlog.SignalReceived)).Str("signal", signalNames[received]).
				Str("action", s.handle(ctx, received)).Send()
		}
	}
}

// handle carries out the action on a signal and returns it.
func (s *signalOwner) handle(ctx context.Context, received os.Signal) string {
	select {
	case <-s.ended:
		return actionNone
	default:
	}
	switch received {
	case syscall.SIGHUP:
		select {
		case s.reloads <- struct{}{}:
		default: // the pending reload reads the same file
		}
		return actionReload
	case syscall.SIGINT, syscall.SIGTERM:
		if ctx.Err() != nil {
			return actionNone
		}
		s.stop()
		return actionStop
	}
	return actionNone
}
