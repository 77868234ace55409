package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btsettings"
)

const settingsCheck = time.Second // between looks at the settings file, which may change without a signal

// stamp tells versions of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}

// followSettings hands settings that differ from the known ones to the node until
// the context ends. Ones that can't be read or break a rule leave those in force as they are.
func followSettings(ctx context.Context, path string, known stamp, node *btnode.Node, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if stampOf(path) == known {
				continue
			}
		}
		known = stampOf(path)
		settings, err := btsettings.Load(path)
		if err != nil {
			log.Warn().Str("event", string(btlog.SettingsRefused)).Err(err).Send()
			continue
		}
		node.Reload(settings)
	}
}
