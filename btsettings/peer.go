package btsettings

import (
	"fmt"
	"net"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	minHeartbeat         = 50 * time.Millisecond
	maxHeartbeat         = 10 * time.Second
	minSilenceHeartbeats = 2 // smallest SilenceLimit, in heartbeats
	maxSilenceLimit      = time.Minute
	maxSeeds             = 64
	maxLinkMegabits      = 1e6
	narrowLinkMegabits   = 250 // below this rate the nodes' own messages take a noticeable part of a link
)

// Peer holds the settings of the connections to other nodes.
type Peer struct {
	Listen       string        // host:port
	Advertise    string        `json:",omitempty"` // host:port that other nodes connect to, empty for Listen
	Seeds        []string      `json:",omitempty"` // peer addresses of nodes through which the node joins the others
	Heartbeat    time.Duration // interval of heartbeats between neighbors
	SilenceLimit time.Duration // time without a message after which a neighbor is suspected, and without any sign of life after which requests to a node are given up (sooner with LinkMegabits)
	LinkMegabits float64       `json:",omitzero"` // rate in Mbit/s at which the VM can send, bodies are sent at a little less; 0 for no limit
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (p *Peer) Check() error {
	if err := checkAddress("Listen", p.Listen); err != nil {
		return err
	}
	if err := checkOptionalAddress("Advertise", p.Advertise); err != nil {
		return err
	}
	if len(p.Seeds) > maxSeeds {
		return baobabtide.Fieldf("Seeds", "%d addresses exceed %d", len(p.Seeds), maxSeeds)
	}
	for i, seed := range p.Seeds {
		if err := checkAddress(fmt.Sprintf("Seeds[%d]", i), seed); err != nil {
			return err
		}
	}
	if p.Heartbeat < minHeartbeat || p.Heartbeat > maxHeartbeat {
		return baobabtide.Fieldf("Heartbeat", "%s, %s to %s are allowed", p.Heartbeat, minHeartbeat, maxHeartbeat)
	}
	if p.SilenceLimit < minSilenceHeartbeats*p.Heartbeat || p.SilenceLimit > maxSilenceLimit {
		return baobabtide.Fieldf("SilenceLimit", "%s, %s to %s are allowed", p.SilenceLimit, minSilenceHeartbeats*p.Heartbeat, maxSilenceLimit)
	}
	if p.LinkMegabits < 0 || p.LinkMegabits > maxLinkMegabits {
		return baobabtide.Fieldf("LinkMegabits", "%g, 0 to %g are allowed", p.LinkMegabits, float64(maxLinkMegabits))
	}
	return nil
}

// HasNarrowLink reports whether the VM's link is so narrow that configuration and membership are
// exchanged within the availability zone where possible.
func (p *Peer) HasNarrowLink() bool { return p.LinkMegabits > 0 && p.LinkMegabits < narrowLinkMegabits }

// Address returns the host:port that other nodes connect to.
func (p *Peer) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// SourceIP returns the local address of outgoing connections to other nodes: the
// IP address of Listen, or nil if that is unspecified or a host name.
func (p *Peer) SourceIP() net.IP {
	host, _, err := net.SplitHostPort(p.Listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return ip
}
