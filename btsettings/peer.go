package btsettings

import (
	"fmt"
	"net"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	minHeartbeat  = 50 * time.Millisecond
	maxHeartbeat  = 10 * time.Second
	minBeatsLost  = 2
	maxSilence    = time.Minute
	maxSeedsCount = 64
)

// Peer says how the node meets the other nodes.
type Peer struct {
	Listen       string        // host:port
	Advertise    string        `json:",omitempty"` // host:port that other nodes use, Listen if empty
	Seeds        []string      `json:",omitempty"` // peer addresses to join through
	Heartbeat    time.Duration // between neighbors
	SilenceLimit time.Duration // silence after which a neighbor is suspected
}

// Check reports the first field that breaks a rule.
func (p *Peer) Check() error {
	if err := checkAddress("Listen", p.Listen); err != nil {
		return err
	}
	if err := checkOptionalAddress("Advertise", p.Advertise); err != nil {
		return err
	}
	if len(p.Seeds) > maxSeedsCount {
		return baobabtide.Fieldf("Seeds", "%d exceed %d", len(p.Seeds), maxSeedsCount)
	}
	for i, seed := range p.Seeds {
		if err := checkAddress(fmt.Sprintf("Seeds[%d]", i), seed); err != nil {
			return err
		}
	}
	if p.Heartbeat < minHeartbeat || p.Heartbeat > maxHeartbeat {
		return baobabtide.Fieldf("Heartbeat", "%s, %s to %s are allowed", p.Heartbeat, minHeartbeat, maxHeartbeat)
	}
	if p.SilenceLimit < minBeatsLost*p.Heartbeat || p.SilenceLimit > maxSilence {
		return baobabtide.Fieldf("SilenceLimit", "%s, %s to %s are allowed", p.SilenceLimit, minBeatsLost*p.Heartbeat, maxSilence)
	}
	return nil
}

// Address returns the address that other nodes use.
func (p *Peer) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// Source returns the address that connections to other nodes leave from: the
// one that the node listens on, or nil where it listens on all.
func (p *Peer) Source() net.IP {
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
