package btroute

import "time"

// Policy holds what distinguishes the ways to choose targets. docs/design/placement.md has the
// figures behind its values.
type Policy struct {
	// ReportLifetime is the time in which the weight of a load report falls linearly to 0.
	ReportLifetime time.Duration
	// SlownessLifetime is the time in which the ratio of the last reported run time to the mean of
	// the reported ones loses its weight. 0 takes the last reported run time of a route whatever
	// its age.
	SlownessLifetime time.Duration
	// HistoryLifetime is the time since the last report in which the share of failing runs falls
	// linearly to 0 and the expected run time turns into the mean of the other targets, so that a
	// target that was slow or failing is tried again. 0 lets both count until the next report.
	HistoryLifetime time.Duration
	// UtilizationPenalty is the relative increase of the run time at full utilization, in addition
	// to the wait for a slot.
	UtilizationPenalty float64
	// LimitTakesSlots counts the slots that the rate limit of a backend server leaves without
	// requests as used. They look free in all reports.
	LimitTakesSlots bool
	// CrossZoneShare is the share of the latency objective by which a target of another zone must
	// respond earlier: callers gain little within their objective.
	CrossZoneShare float64
	// CrossZoneSlack applies CrossZoneShare to the time that the best target of the own zone leaves
	// before the objective, not to all of the objective, if the other one is in time. So requests
	// spill over to other zones when they would be late, and not when they are late there as well.
	CrossZoneSlack bool
	// MaxOverloadMoves is the number of refusals by overloaded targets after which a request is not
	// moved again before its late round, 0 for no limit of its own.
	MaxOverloadMoves int
}

// Fastest takes the target that is expected to respond first by reports of the last second.
var Fastest = &Policy{
	ReportLifetime:     time.Second,
	UtilizationPenalty: 0.25,
	CrossZoneShare:     0.25,
}

// Balanced is for many nodes that send few requests each to many targets of different and varying
// speeds. A node hears of a target less than once a second, and the differences between targets
// last longer than that, so reports count for longer. The larger penalty for utilization leaves
// slots free for the choices of other nodes. A target that was slow in its last report is tried
// again soon, as it tells nothing new until then.
var Balanced = &Policy{
	ReportLifetime:     8 * time.Second,
	SlownessLifetime:   time.Second,
	HistoryLifetime:    12 * time.Second,
	UtilizationPenalty: 1,
	LimitTakesSlots:    true,
	CrossZoneShare:     0.7,
	CrossZoneSlack:     true,
	MaxOverloadMoves:   2,
}
