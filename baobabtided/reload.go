package main

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btsettings"
)

const settingsCheckInterval = time.Second // interval of checks of the settings file, which may change without a signal

// fileVersion holds the attributes of a file whose change shows that its contents have
// changed.
type fileVersion struct {
	modTime time.Time // modification time
	size    int64     // bytes
}

// fileVersionOf returns the attributes of a file, zero if they can't be read.
func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// watchSettings reloads the settings of a node when their file changes, and on each value
// of reloads, until the context ends. known holds the attributes of the file when the settings in
// force were read. If the file can't be read or is invalid, it logs the error and the
// settings stay in force.
func watchSettings(ctx context.Context, reloads <-chan struct{}, path string, known fileVersion, node *btnode.Node, log zerolog.Logger) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if fileVersionOf(path) == known {
				continue
			}
		}
		known = fileVersionOf(path)
		settings, err := btsettings.Load(path)
		if err != nil {
			log.Warn().Str("event", string(btlog.SettingsRefused)).Err(err).Send()
			continue
		}
		node.Reload(settings)
	}
}
