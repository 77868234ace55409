// Package btlog writes and analyzes the decision log: JSON lines that hold the
// decisions of a node with their inputs and outcomes. The rate of lines about
// requests is limited, and writing never blocks on the reader of the output.
package btlog

// Event is the kind of a log line, the value of its field "event".
type Event string

// Events of a request. Each line holds the request's ID, except those of
// RequestsServed, which counts requests, and ClientRefused.
const (
	RequestRefused    Event = "request.refused"    // the caller got the response that its request did not run
	RequestFailed     Event = "request.failed"     // the caller got the response that its request may have run, or ran without a complete response
	RequestMoved      Event = "request.moved"      // a target was overloaded or unreachable and the request goes to another one
	RequestRetried    Event = "request.retried"    // a target may have run an idempotent request, which is retried at another one
	RequestSettled    Event = "request.settled"    // the node beside a target was asked whether an attempt without a response ran
	RequestUnanswered Event = "request.unanswered" // the connection of the caller ended before the response was complete
	AdmitRefused      Event = "admit.refused"      // the node beside a target refused a request
	AdmitLost         Event = "admit.lost"         // the backend server sent no complete response
	ClientRefused     Event = "client.refused"     // a caller was refused because of its behavior or for lack of memory; at most one line a second and reason
	RequestsServed    Event = "requests.served"    // numbers of requests in the last period, instead of a line for each successful request
)

// Events about the node's own state, the log, the configuration, targets, other nodes and
// rollouts.
const (
	NodeStarted       Event = "node.started"
	NodeStopped       Event = "node.stopped"
	NodeDraining      Event = "node.draining"
	NodeDrained       Event = "node.drained"
	SignalReceived    Event = "signal.received" // the process got a signal
	SettingsReloaded  Event = "settings.reloaded"
	SettingsRefused   Event = "settings.refused"
	LogUp             Event = "log.up"
	LogDown           Event = "log.down"
	LogBehind         Event = "log.behind"
	LogCaughtUp       Event = "log.caught-up" // the log ends after the configuration in force again
	LogRestored       Event = "log.restored"  // the log has come back from an older copy
	LogReader         Event = "log.reader"    // this node has become one of those that read the log, or is no longer one
	ConfigInForce     Event = "config.in-force"
	ConfigStalled     Event = "config.stalled"  // the log holds later records, and a read of them advanced nothing
	ConfigResumed     Event = "config.resumed"  // a read advanced the configuration again
	PullUnanswered    Event = "pull.unanswered" // a neighbor has a later configuration and has not sent it
	RecordRejected    Event = "record.rejected"
	RecordInvalid     Event = "record.invalid"
	RecordBounded     Event = "record.bounded" // a record is in force with values within the bounds of a contract in place of others
	TargetChanged     Event = "target.changed"
	TargetRestored    Event = "target.restored"
	TargetLimit       Event = "target.limit"       // the rate limit that a backend server names has changed
	TargetCold        Event = "target.cold"        // the backend server has announced that it is cold
	TargetLeaving     Event = "target.leaving"     // the backend server has said in a response that it is about to stop
	TargetCrashed     Event = "target.crashed"     // the backend server ended while it had requests
	QuarantineSuspect Event = "quarantine.suspect" // a server crashed under a request
	QuarantineSet     Event = "quarantine.set"     // a request has crashed so many servers that it is refused
	QuarantineCleared Event = "quarantine.cleared" // a server has run the request, or an operator cleared it
	QuarantineFailed  Event = "quarantine.failed"  // quarantined requests could not be read from or written to the platform's log
	NoticeInvalid     Event = "notice.invalid"     // a backend server names a rate limit that is not a decimal number
	ReportInvalid     Event = "report.invalid"     // a backend server sends a load report that is not valid
	HeartbeatRefused  Event = "heartbeat.refused"
	MemberStatus      Event = "member.status"
	MemberAccused     Event = "member.accused"
	PeerUnresponsive  Event = "peer.unresponsive" // the requests on a connection to another node were given up
	RolloutShare      Event = "rollout.share"
	RolloutTripped    Event = "rollout.tripped"
	RolloutEnded      Event = "rollout.ended"
	OutcomeAppend     Event = "outcome.append"
	OutcomesUnread    Event = "outcomes.unread"
	DirectoryFailed   Event = "directory.failed"
	AccountsAnswered  Event = "accounts.answered" // another node answers this one's reports on accounts
	AccountsFallback  Event = "accounts.fallback" // no node answers them, so this one falls back to a fixed part of the limits
	LinesDropped      Event = "log.dropped"       // number of lines that were not written since the last such line
)

// Events returns all events.
func Events() []Event {
	return []Event{
		RequestRefused, RequestFailed, RequestMoved, RequestRetried, RequestSettled, RequestUnanswered, AdmitRefused, AdmitLost, ClientRefused, RequestsServed,
		NodeStarted, NodeStopped, NodeDraining, NodeDrained, SignalReceived, SettingsReloaded, SettingsRefused, LogUp, LogDown, LogBehind, LogCaughtUp, LogRestored, LogReader,
		ConfigInForce, ConfigStalled, ConfigResumed, PullUnanswered, RecordRejected, RecordInvalid, RecordBounded, TargetChanged, TargetRestored, TargetLimit, TargetCold, TargetLeaving, TargetCrashed, QuarantineSuspect, QuarantineSet, QuarantineCleared, QuarantineFailed, NoticeInvalid, ReportInvalid, HeartbeatRefused, MemberStatus,
		MemberAccused, PeerUnresponsive, RolloutShare, RolloutTripped, RolloutEnded, OutcomeAppend, OutcomesUnread, DirectoryFailed, AccountsAnswered, AccountsFallback, LinesDropped,
	}
}
