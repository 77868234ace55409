// Package btrelay implements a TCP relay that simulates network faults: it
// forwards connections, and cuts, freezes, stalls or delays them by rules.
package btrelay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Link configures an address that the relay listens on.
type Link struct {
	Listen string // host:port that the relay listens on
	Target string // host:port that the relay forwards to
	From   string `json:",omitempty"` // source address that rules match, by default that of the connection
}

// Mode is the fault that a rule applies to a connection.
type Mode string

// Modes of a rule.
const (
	Cut    Mode = "Cut"    // open connections are closed, new ones are closed once accepted
	Freeze Mode = "Freeze" // open connections deliver no more data, also after the rule ends, new ones work
	Stall  Mode = "Stall"  // all connections hold data back until the rule ends
	Delay  Mode = "Delay"  // data is forwarded with a delay
)

// Rule applies a mode to the connections from one range of addresses to another.
// To matches the address of Link.Target.
type Rule struct {
	From  netip.Prefix
	To    netip.Prefix
	Mode  Mode
	Delay time.Duration `json:",omitempty"`
}

// Rules is the list of rules in force. The first one that matches a connection
// applies.
type Rules struct {
	Rules []Rule
}

// Check returns an error for the first field that is invalid.
func (r *Rules) Check() error {
	for i, rule := range r.Rules {
		switch rule.Mode {
		case Cut, Freeze, Stall, Delay:
		default:
			return baobabtide.Fieldf(fmt.Sprintf("Rules[%d].Mode", i), "%q is unknown", rule.Mode)
		}
	}
	return nil
}

// pipe is a relayed connection, from a client to the target of its link.
type pipe struct {
	from, to netip.Addr
	client   net.Conn
	server   net.Conn      // nil until it is connected; the relay's lock protects it until then
	closed   chan struct{} // closed by close
	frozen   bool          // drops all data, after a Freeze rule

	closeOnce sync.Once
}

// Relay forwards connections. All methods are safe for concurrent use.
type Relay struct {
	dial func(network, address string) (net.Conn, error)

	mu        sync.Mutex
	rules     []Rule
	changed   chan struct{} // closed and replaced when the rules change
	pipes     map[*pipe]struct{}
	listeners []net.Listener
}

// New returns a relay and a function that stops it.
func New() (*Relay, func()) {
	r := &Relay{dial: net.Dial, pipes: make(map[*pipe]struct{}), changed: make(chan struct{})}
	return r, r.stop
}

func (r *Relay) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for p := range r.pipes {
		p.close()
	}
}

// close closes both connections of the pipe. The caller holds the relay's lock or is a
// goroutine that copies the pipe's data.
func (p *pipe) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		if p.server != nil {
			_ = p.server.Close()
		}
	})
}

// Open starts to listen on link.Listen and to forward connections to link.Target. It
// fails if the relay can't listen.
func (r *Relay) Open(link Link) error {
	l, err := net.Listen("tcp", link.Listen)
	if err != nil {
		return fmt.Errorf("listen for link to %s: %w", link.Target, err)
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, link)
		}
	}()
	return nil
}

// SetRules replaces the rules. It closes the open connections that a Cut rule
// matches, and marks those that a Freeze rule matches as frozen for good.
func (r *Relay) SetRules(rules []Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
	close(r.changed)
	r.changed = make(chan struct{})
	for p := range r.pipes {
		switch mode, _ := r.mode(p.from, p.to); mode {
		case Cut:
			p.close()
		case Freeze:
			p.frozen = true
		}
	}
}

// mode returns the mode and delay of the first rule that matches a connection, or
// an empty mode. The caller holds the lock.
func (r *Relay) mode(from, to netip.Addr) (Mode, time.Duration) {
	for _, rule := range r.rules {
		if rule.From.Contains(from) && rule.To.Contains(to) {
			return rule.Mode, rule.Delay
		}
	}
	return "", 0
}

// ipOf returns the IP address of a network address, without a port. It returns the zero
// value if there is none.
func ipOf(address net.Addr) netip.Addr {
	ipPort, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return netip.Addr{}
	}
	return ipPort.Addr().Unmap()
}

// serve relays an accepted connection until it ends.
func (r *Relay) serve(client net.Conn, link Link) {
	to, err := netip.ParseAddrPort(link.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pipe{from: ipOf(client.RemoteAddr()), to: to.Addr(), client: client, closed: make(chan struct{})}
	if from, err := netip.ParseAddr(link.From); err == nil {
		p.from = from
	}
	defer r.remove(p)
	if !r.add(p) {
		return
	}
	server, err := r.dial("tcp", link.Target)
	if err != nil || !r.connect(p, server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(p, p.server, p.client) })
	wg.Go(func() { r.copy(p, p.client, p.server) })
	wg.Wait()
}

// add registers a pipe before it is connected, so that rules that are set meanwhile apply
// to it. It returns false if a Cut rule matches.
func (r *Relay) add(p *pipe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pipes[p] = struct{}{}
	mode, _ := r.mode(p.from, p.to)
	return mode != Cut
}

// connect sets the pipe's connection to the target. It returns false, and closes that
// connection, if the pipe has been closed meanwhile.
func (r *Relay) connect(p *pipe, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-p.closed:
		_ = server.Close()
		return false
	default:
		p.server = server
		return true
	}
}

func (r *Relay) remove(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.close()
	delete(r.pipes, p)
}

const copyBufferSize = 16 << 10

// copy forwards data in one direction, and then the end of the stream, until the
// connection ends.
func (r *Relay) copy(p *pipe, dst, src net.Conn) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && r.applyRules(p) {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			r.applyRules(p)
			if c, ok := dst.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	p.close()
}

// applyRules blocks as long as the rules hold back or delay the connection's data.
// It returns false if the data must be dropped.
func (r *Relay) applyRules(p *pipe) bool {
	for {
		r.mu.Lock()
		mode, delay := r.mode(p.from, p.to)
		frozen, changed := p.frozen, r.changed
		r.mu.Unlock()
		switch {
		case frozen:
			return false
		case mode == Stall:
			<-changed
		case mode == Delay:
			time.Sleep(delay)
			return true
		default:
			return true
		}
	}
}
