package btsettings

import "time"

// Default returns the default settings. Node.Name, Node.Zone and the addresses
// have no defaults and must be set in the settings file.
func Default() *Settings {
	return &Settings{
		Caller: Caller{
			MaxHeaderBytes: 16 << 10,
			MaxBodyBytes:   64 << 20,
			MaxConnections: 8192,
		},
		Peer: Peer{
			Heartbeat:    time.Second,
			SilenceLimit: 4 * time.Second,
		},
		Platform: Platform{
			Timeout:        time.Second,
			ReadWait:       10 * time.Second,
			ReadersPerZone: 2,
			SnapshotEvery:  256,
		},
		Log: Log{Level: "info"},
	}
}
