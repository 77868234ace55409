// Package btrelay forwards TCP connections between nodes and cuts, freezes or
// delays them on demand.
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

// Link is one address that the relay listens on.
type Link struct {
	Listen string // host:port that others dial
	Target string // host:port behind it
	From   string `json:",omitempty"` // address that stands for those who dial, by default their own
}

// Mode is what happens to a connection.
type Mode string

// Modes of a rule.
const (
	Cut    Mode = "Cut"    // open connections end, new ones are refused
	Freeze Mode = "Freeze" // bytes stop for good on open connections, new ones work
	Stall  Mode = "Stall"  // bytes stop on all connections while the rule stands
	Delay  Mode = "Delay"  // bytes arrive later
)

// Rule applies a mode to the connections from one range of addresses to
// another. Targets are matched by the address behind the relay.
type Rule struct {
	From  netip.Prefix
	To    netip.Prefix
	Mode  Mode
	Delay time.Duration `json:",omitempty"`
}

// Rules are all rules in force.
type Rules struct {
	Rules []Rule
}

// Check reports the first field that breaks a rule.
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

// pipe is one relayed connection.
type pipe struct {
	from, to netip.Addr
	client   net.Conn
	server   net.Conn
	frozen   bool
}

// Relay forwards connections. All methods are safe for concurrent use.
type Relay struct {
	mu        sync.Mutex
	rules     []Rule
	changed   chan struct{} // closed and replaced with each change of rules
	pipes     map[*pipe]struct{}
	listeners []net.Listener
}

// New returns a relay and a function that stops it.
func New() (*Relay, func()) {
	r := &Relay{pipes: make(map[*pipe]struct{}), changed: make(chan struct{})}
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

func (p *pipe) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// Open listens for a link.
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

// SetRules replaces the rules. Open connections that a Cut concerns end; those
// that a Freeze concerns stay silent for good.
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

// mode returns what the rules say of a connection. The caller holds the lock.
func (r *Relay) mode(from, to netip.Addr) (Mode, time.Duration) {
	for _, rule := range r.rules {
		if rule.From.Contains(from) && rule.To.Contains(to) {
			return rule.Mode, rule.Delay
		}
	}
	return "", 0
}

func addrOf(c net.Addr) netip.Addr {
	ap, err := netip.ParseAddrPort(c.String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func (r *Relay) serve(client net.Conn, link Link) {
	to, err := netip.ParseAddrPort(link.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pipe{from: addrOf(client.RemoteAddr()), to: to.Addr(), client: client}
	if from, err := netip.ParseAddr(link.From); err == nil {
		p.from = from
	}
	r.mu.Lock()
	mode, _ := r.mode(p.from, p.to)
	r.mu.Unlock()
	if mode == Cut {
		_ = client.Close()
		return
	}
	p.server, err = net.Dial("tcp", link.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(p, p.server, p.client) })
	wg.Go(func() { r.copy(p, p.client, p.server) })
	wg.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

const copyBuffer = 16 << 10

// copy forwards bytes in one direction.
func (r *Relay) copy(p *pipe, dst, src net.Conn) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 && r.wait(p) {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			r.wait(p)
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

// wait holds bytes back while the rules say so. It returns false where they
// are dropped.
func (r *Relay) wait(p *pipe) bool {
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
