package btbackendstandin

import (
	"strings"
	"time"
)

const (
	limitWindow   = 4 * time.Second        // period in which arrivals are compared with the rate limit
	limitSettle   = 3 * time.Second        // from naming a limit until it is checked
	limitTold     = 500 * time.Millisecond // from a response until the node that got it must obey it
	limitFactor   = 1.5                    // arrivals tolerated in limitWindow, as a multiple of what the limit allows
	limitSlack    = 5                      // arrivals tolerated in addition
	leavingSettle = 2 * time.Second        // from a response until the node that got it must send no more requests
)

// noticeMonitor checks whether nodes obey what the server states in its responses. Only
// arrivals from nodes count that had got such a response. Each process of a node counts as
// a node of its own. The zero value is ready to use; the caller serializes the calls.
type noticeMonitor struct {
	limit       float64
	limitSince  time.Time
	limitTold   map[string]time.Time // by node, the first response that named the limit
	arrivals    []time.Time          // of the last limitWindow
	leavingTold map[string]time.Time // by node, the first response that said that the server leaves

	overLimit    int // largest number of arrivals beyond those tolerated
	afterLeaving int // arrivals from nodes that had to send none
}

// origin returns the node that sent an attempt, with its process.
func origin(attempt string) string { return attempt[:max(0, strings.LastIndexByte(attempt, '.'))] }

// setLimit records the rate limit that the following responses name, 0 for none.
func (m *noticeMonitor) setLimit(limit float64, now time.Time) {
	if m.limit == limit {
		return
	}
	m.limit, m.limitSince, m.limitTold, m.arrivals = limit, now, nil, nil
}

// restart forgets what earlier incarnations of the server stated.
func (m *noticeMonitor) restart(now time.Time) {
	m.limitSince, m.limitTold, m.leavingTold, m.arrivals = now, nil, nil, nil
}

// arrive records the arrival of an attempt.
func (m *noticeMonitor) arrive(attempt string, now time.Time) {
	node := origin(attempt)
	if told, ok := m.leavingTold[node]; ok && now.Sub(told) > leavingSettle {
		m.afterLeaving++
	}
	told, ok := m.limitTold[node]
	if m.limit <= 0 || !ok || now.Sub(told) < limitTold || now.Sub(m.limitSince) < limitSettle {
		return
	}
	m.arrivals = append(m.arrivals, now)
	for now.Sub(m.arrivals[0]) >= limitWindow {
		m.arrivals = m.arrivals[1:]
	}
	tolerated := int(limitFactor*m.limit*limitWindow.Seconds() + limitSlack)
	m.overLimit = max(m.overLimit, len(m.arrivals)-tolerated)
}

// respond records what a response to an attempt states.
func (m *noticeMonitor) respond(attempt string, limit float64, leaving bool, now time.Time) {
	if limit > 0 && limit == m.limit {
		m.limitTold = recordFirst(m.limitTold, origin(attempt), now)
	}
	if leaving {
		m.leavingTold = recordFirst(m.leavingTold, origin(attempt), now)
	}
}

// recordFirst sets the time of a node that has none, and returns the map, which may be nil.
func recordFirst(times map[string]time.Time, node string, now time.Time) map[string]time.Time {
	if times == nil {
		times = make(map[string]time.Time)
	}
	if _, ok := times[node]; !ok {
		times[node] = now
	}
	return times
}
