package btdeploy

import (
	"fmt"
	"os"

	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btsettings"
)

const (
	bitsPerByte = 8
	bitsPerMega = 1e6
)

// writeJSON writes v to a file as indented JSON.
func writeJSON(path string, v any) error {
	data, err := btcodec.EncodeJSONIndent(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// writeSettings writes a node's settings file.
func (d *Deployment) writeSettings(n *Node) error {
	s := btsettings.Default()
	s.Node = btsettings.Node{Name: n.Name, Zone: n.Zone, Region: d.Spec.Region}
	s.Caller.Listen = n.Caller()
	s.Backend.Listen = fmt.Sprintf("%s:%d", n.IP, backendPort)
	s.Operator.Listen = n.Operator()
	s.Metrics.Listen = fmt.Sprintf("%s:%d", n.IP, metricsPort)
	s.Peer.Listen = n.peerAddress()
	if d.Spec.Relay {
		s.Peer.Advertise = n.advertisedAddress(true)
	}
	s.Peer.Seeds = d.seeds()
	s.Peer.LinkMegabits = float64(d.service(n.Service).LinkRate) * bitsPerByte / bitsPerMega
	if d.Spec.Heartbeat > 0 {
		s.Peer.Heartbeat = d.Spec.Heartbeat
		s.Peer.SilenceLimit = 3 * d.Spec.Heartbeat
	}
	s.Platform.Addresses = []string{n.logAddress(d.Spec.Relay)}
	if d.Spec.SnapshotEvery > 0 {
		s.Platform.SnapshotEvery = d.Spec.SnapshotEvery
	}
	if level := os.Getenv("BAOBABTIDE_LOG_LEVEL"); level != "" {
		s.Log.Level = level
	}
	s.TLS.Plaintext = true
	return writeJSON(n.settingsPath, s)
}

// seeds returns the peer addresses of the first seedsPerZone nodes of each zone.
func (d *Deployment) seeds() []string {
	count := make(map[string]int)
	var seeds []string
	for _, n := range d.Nodes {
		if count[n.Zone] < seedsPerZone {
			count[n.Zone]++
			seeds = append(seeds, n.advertisedAddress(d.Spec.Relay))
		}
	}
	return seeds
}
