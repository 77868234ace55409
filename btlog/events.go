// Package btlog writes the decision log: JSON lines that say what a node
// decided, from which inputs and with what outcome. Its volume is bounded and
// it never waits for whoever reads the output.
package btlog

// Event names what a line is about.
type Event string

// Events of requests. Each line holds the request's id.
const (
	RequestRefused Event = "request.refused" // the caller is told that its request has not run
	RequestFailed  Event = "request.failed"  // the caller is told that its request may have run, or has run without a whole answer
	RequestMoved   Event = "request.moved"   // a target had no room or was not reached, another one is asked
	RequestRetried Event = "request.retried" // a target may have run an idempotent request, another one is asked
	RequestSettled Event = "request.settled" // the node beside a target was asked what became of a lost attempt
	AdmitRefused   Event = "admit.refused"   // the node beside a target lets a request not in
	AdmitLost      Event = "admit.lost"      // the backend server gave no whole answer
	RequestsServed Event = "requests.served" // counts of the last period, in place of a line for each request that went well
)

// Events of what a node believes.
const (
	NodeStarted      Event = "node.started"
	NodeStopped      Event = "node.stopped"
	NodeDraining     Event = "node.draining"
	NodeDrained      Event = "node.drained"
	SettingsReloaded Event = "settings.reloaded"
	SettingsRefused  Event = "settings.refused"
	LogUp            Event = "log.up"
	LogDown          Event = "log.down"
	LogBehind        Event = "log.behind"
	ConfigInForce    Event = "config.in-force"
	RecordRejected   Event = "record.rejected"
	RecordInvalid    Event = "record.invalid"
	TargetChanged    Event = "target.changed"
	TargetRestored   Event = "target.restored"
	HeartbeatRefused Event = "heartbeat.refused"
	MemberStatus     Event = "member.status"
	MemberAccused    Event = "member.accused"
	RolloutShare     Event = "rollout.share"
	RolloutTripped   Event = "rollout.tripped"
	RolloutEnded     Event = "rollout.ended"
	OutcomeAppend    Event = "outcome.append"
	OutcomesUnread   Event = "outcomes.unread"
	DirectoryFailed  Event = "directory.failed"
	LinesDropped     Event = "log.dropped" // lines that were not written since the last such line
)

// Events lists all events of requests and of what a node believes.
func Events() []Event {
	return []Event{
		RequestRefused, RequestFailed, RequestMoved, RequestRetried, RequestSettled, AdmitRefused, AdmitLost, RequestsServed,
		NodeStarted, NodeStopped, NodeDraining, NodeDrained, SettingsReloaded, SettingsRefused, LogUp, LogDown, LogBehind,
		ConfigInForce, RecordRejected, RecordInvalid, TargetChanged, TargetRestored, HeartbeatRefused, MemberStatus,
		MemberAccused, RolloutShare, RolloutTripped, RolloutEnded, OutcomeAppend, OutcomesUnread, DirectoryFailed, LinesDropped,
	}
}
