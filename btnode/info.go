package btnode

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btpeer"
)

// Info implements btpeer.Node.
func (n *Node) Info() btpeer.Info {
	n.members.mu.Lock()
	live := n.members.table.Live()
	n.members.mu.Unlock()
	bytes := n.bytes.Totals()
	reads, appends := n.adapters.Calls()
	return btpeer.Info{
		Node:        n.locality.Node,
		Zone:        n.locality.Zone,
		Offset:      n.inForce(),
		Peers:       n.edges.count(),
		Members:     live,
		Reader:      n.reader.Load(),
		LogUp:       n.logUp.Load(),
		Draining:    n.draining.Load(),
		InForceAt:   n.inForceAt.Load(),
		ControlIn:   bytes.In,
		ControlOut:  bytes.Out,
		Held:        n.held(),
		ControlNano: processorNanos(),
		Resident:    residentBytes(),
		LogReads:    reads,
		LogAppends:  appends,
		RateLimits:  n.local.RateLimits(),
		Accounts:    n.accounts.statuses(time.Now()),
		Coordinator: n.accounts.coordinator.Active(time.Now()),
	}
}

// inForce returns the configuration offset of the route table in use, 0 if there
// is none.
func (n *Node) inForce() baobabtide.Offset {
	if table := n.routes.Load(); table != nil {
		return table.Offset
	}
	return 0
}

// held returns the services whose assigned version has no known target, each as
// customer/service.
func (n *Node) held() []string {
	table := n.routes.Load()
	if table == nil {
		return nil
	}
	var held []string
	for _, dest := range table.Destinations() {
		if dest.Held != "" {
			held = append(held, dest.Customer+"/"+dest.Service)
		}
	}
	return held
}

// processorNanos returns the user and system time that this process has used, in
// nanoseconds, 0 if unknown.
func processorNanos() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// residentBytes returns the resident memory of this process in bytes, 0 if
// unknown.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
