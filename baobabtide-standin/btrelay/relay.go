// Package btrelay implements a TCP relay that simulates network faults: it forwards
// connections, and cuts, freezes, stalls, delays or limits them by rules.
package btrelay

import (
	"fmt"
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

// Modes of a rule. The last two apply to data that addresses in From send to addresses in
// To, whichever side opened the connection; the others apply to both directions of the
// connections that were opened from From to To.
const (
	Cut    Mode = "Cut"    // open connections are closed, new ones are closed once accepted
	Freeze Mode = "Freeze" // open connections deliver no more data, also after the rule ends, new ones work
	Stall  Mode = "Stall"  // all connections hold data back until the rule ends
	Delay  Mode = "Delay"  // data is forwarded with a delay
	Hold   Mode = "Hold"   // data is held back until the rule ends
	Limit  Mode = "Limit"  // data of all connections passes one unbounded queue at Rate
)

// Rule applies a mode to the connections from one range of addresses to another.
// To matches the address of Link.Target.
type Rule struct {
	From  netip.Prefix
	To    netip.Prefix
	Mode  Mode
	Delay time.Duration `json:",omitempty"`
	Rate  int           `json:",omitempty"` // bytes per second of Limit
}

// perDirection reports whether the rule applies to one direction of connections.
func (r *Rule) perDirection() bool { return r.Mode == Hold || r.Mode == Limit }

// Rules is the list of rules in force. The first one that matches a connection
// applies.
type Rules struct {
	Rules []Rule
}

// Check returns an error for the first field that is invalid.
func (r *Rules) Check() error {
	for i, rule := range r.Rules {
		switch rule.Mode {
		case Cut, Freeze, Stall, Delay, Hold, Limit:
		default:
			return baobabtide.Fieldf(fmt.Sprintf("Rules[%d].Mode", i), "%q is unknown", rule.Mode)
		}
		if rule.Mode == Limit && rule.Rate <= 0 {
			return baobabtide.Fieldf(fmt.Sprintf("Rules[%d].Rate", i), "%d is not positive", rule.Rate)
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
	dial  func(network, address string) (net.Conn, error)
	clock clock

	mu        sync.Mutex
	rules     []Rule
	queues    map[Rule]*queue // of the Limit rules
	changed   chan struct{}   // closed and replaced when the rules change
	pipes     map[*pipe]struct{}
	listeners []net.Listener
}

// New returns a relay and a function that stops it.
func New() (*Relay, func()) {
	r := &Relay{dial: net.Dial, clock: systemClock{}, pipes: make(map[*pipe]struct{}), changed: make(chan struct{})}
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
// matches, and marks those that a Freeze rule matches as frozen for good. A Limit rule that
// was in force before keeps its queue.
func (r *Relay) SetRules(rules []Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queues := make(map[Rule]*queue)
	for _, rule := range rules {
		if rule.Mode != Limit {
			continue
		}
		queues[rule] = r.queues[rule]
		if queues[rule] == nil {
			queues[rule] = &queue{rate: rule.Rate}
		}
	}
	r.rules, r.queues = rules, queues
	close(r.changed)
	r.changed = make(chan struct{})
	for p := range r.pipes {
		switch r.rule(p, p.from, p.to).Mode {
		case Cut:
			p.close()
		case Freeze:
			p.frozen = true
		}
	}
}

// rule returns the first rule that matches the data that a pipe carries from a sender to
// a receiver, or a rule with an empty mode. The caller holds the lock.
func (r *Relay) rule(p *pipe, sender, receiver netip.Addr) Rule {
	for _, rule := range r.rules {
		from, to := p.from, p.to
		if rule.perDirection() {
			from, to = sender, receiver
		}
		if rule.From.Contains(from) && rule.To.Contains(to) {
			return rule
		}
	}
	return Rule{}
}

// QueueReport describes the use of a Limit rule's queue.
type QueueReport struct {
	Rule    Rule
	Bytes   int64         // accepted since the rule came into force
	MaxWait time.Duration // longest time that data spent in the queue
}

// QueueReports is the list of reports on the queues of a relay.
type QueueReports struct {
	Queues []QueueReport
}

// Queues returns a report on the queue of each Limit rule in force, in the order of the
// rules.
func (r *Relay) Queues() []QueueReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []QueueReport
	for _, rule := range r.rules {
		if q := r.queues[rule]; q != nil {
			reports = append(reports, QueueReport{Rule: rule, Bytes: q.bytes, MaxWait: q.maxWait})
		}
	}
	return reports
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
	wg.Go(func() { r.copy(newStream(p, p.from, p.to, p.client, p.server)) })
	wg.Go(func() { r.copy(newStream(p, p.to, p.from, p.server, p.client)) })
	wg.Wait()
}

// add registers a pipe before it is connected, so that rules that are set meanwhile apply
// to it. It returns false if a Cut rule matches.
func (r *Relay) add(p *pipe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pipes[p] = struct{}{}
	return r.rule(p, p.from, p.to).Mode != Cut
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
