package main

import (
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btsettings"
	"github.com/baobabtide/baobabtide/platform"
)

// newNode returns a node with the adapters that Platform.Adapter of the settings names,
// and a function that releases its resources.
func newNode(settings *btsettings.Settings, log zerolog.Logger) (*btnode.Node, func(), error) {
	if settings.Platform.Adapter != btsettings.KeyedLog {
		return btnode.New(settings, log)
	}
	adapters, closeAdapters := platform.NewAdapters(settings, log)
	node, free, err := btnode.NewWithAdapters(settings, log, adapters)
	if err != nil {
		closeAdapters()
		return nil, nil, err
	}
	return node, func() {
		free()
		closeAdapters()
	}, nil
}
