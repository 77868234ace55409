package main

import (
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btsettings"
	"github.com/baobabtide/baobabtide/platform"
)

// newNode returns a node for the platform that the settings name.
func newNode(settings *btsettings.Settings, log zerolog.Logger) (*btnode.Node, func(), error) {
	if settings.Platform.Adapter != btsettings.KeyedLog {
		return btnode.New(settings, log)
	}
	client, closeClient := platform.NewClient(settings.Platform.Addresses[0], settings.Platform.Timeout, platform.Translator{
		Customer: settings.Terms.Customer,
		Rollout:  settings.Terms.Rollout,
		Drain:    settings.Terms.Drain,
	})
	client.Invalid = func(key string, offset baobabtide.Offset, err error) {
		log.Warn().Str("event", "record.invalid").Str("key", key).Uint64("offset", uint64(offset)).Err(err).Send()
	}
	node, free, err := btnode.NewWith(settings, log, btnode.Adapters{
		Log:          client,
		Outcomes:     client,
		Directory:    client,
		Calls:        client.Calls,
		Announce:     heartbeats(log),
		CallerNames:  platform.CallerNames(),
		BackendNames: platform.BackendNames(),
	})
	if err != nil {
		closeClient()
		return nil, nil, err
	}
	return node, func() {
		free()
		closeClient()
	}, nil
}

// heartbeats returns the constructor of the server that takes the heartbeats of
// the backend server beside the node.
func heartbeats(log zerolog.Logger) btnode.Announcer {
	return func(registry *btbackend.Registry, backend func() btsettings.Backend) (*fasthttp.Server, func()) {
		s := &platform.HeartbeatServer{
			Registry: registry,
			Lease:    backend().Lease,
			Expected: func() (string, string) { return backend().Service, backend().Address },
			Refused: func(id string, err error) {
				log.Warn().Str("event", string(btlog.HeartbeatRefused)).Str("target", id).Err(err).Send()
			},
		}
		return s.NewServer()
	}
}
