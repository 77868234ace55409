package btadmit

import (
	"math"
	"time"
)

const (
	reportHalfLife     = 400 * time.Millisecond // after which half the difference between the reported and the mean service time counts
	minForeignLifetime = 100 * time.Millisecond // of the requests that a report shows beyond the node's own
	freshReport        = 20 * time.Millisecond  // age up to which a report tells whether the server is full: it came with the response at hand
	maxForeignPeriod   = 10 * time.Second       // longer than the deadlines of most requests; a server that reports such requests for longer is not believed
)

// Report is what a backend server reports about its load.
type Report struct {
	Requests    int     // that run or wait at the server
	ServiceTime float64 // relative to the normal one, 0 if not reported
	Refused     bool    // the server has not run the request that it responds to
}

// serverReport is what the reports of a backend server say. The zero value is a server that
// reports nothing.
type serverReport struct {
	serviceTime float64   // latest one, 0 for none
	mean        float64   // of the service times at the end of each run, 0 if none was reported
	at          time.Time // of the latest service time
	requests    int       // in the latest report
	reportedAt  time.Time // of the latest report
	excess      int       // requests beyond the node's own in the latest report
	foreign     int       // the lesser excess of the latest two reports, or that of a refusal
	foreignAt   time.Time // when foreign was set
	excessSince time.Time // of the first report in succession with an excess
}

// RecordReport records a report that came with a response to a request of this queue, while
// that request holds its slot. Requests at the server beyond those of the queue were begun by
// an earlier process of the node, or were canceled while the server goes on with them. They
// hold slots. A request that ended between the writing and the reading of a report is in the
// report only, so the excess counts only if the report before showed it too, or if the server
// refuses a request. Only servers that report their service time share their VM with others and
// are taken to hold requests that the queue does not know.
func (q *Queue) RecordReport(r Report, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.report
	if r.ServiceTime > 0 {
		s.serviceTime, s.at = r.ServiceTime, now
		if s.mean == 0 {
			s.mean = r.ServiceTime
			q.stats.scale(1 / r.ServiceTime)
		}
	}
	s.requests, s.reportedAt = r.Requests, now
	if s.mean == 0 {
		return
	}
	own := q.inFlight
	if r.Refused {
		own--
	}
	excess := min(max(0, r.Requests-own), q.slots)
	foreign := min(excess, s.excess)
	if r.Refused {
		foreign = excess
	}
	s.setForeign(foreign, excess, now)
}

func (s *serverReport) setForeign(foreign, excess int, now time.Time) {
	switch {
	case excess == 0:
		s.excessSince = time.Time{}
	case s.excess == 0:
		s.excessSince = now
	case now.Sub(s.excessSince) > maxForeignPeriod:
		foreign = 0
	}
	s.foreign, s.excess, s.foreignAt = foreign, excess, now
}

// hasCapacity reports whether the backend server has just reported fewer requests than slots.
func (q *Queue) hasCapacity(now time.Time) bool {
	s := &q.report
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= freshReport && s.requests < q.slots
}

// addForeign adds a request of the queue that may go on at the server.
func (q *Queue) addForeign(now time.Time) {
	if s := &q.report; s.mean > 0 {
		foreign := min(q.foreign(now)+1, q.slots)
		s.setForeign(foreign, foreign, now)
	}
}

// relativeTime returns the service time that is expected now: the latest one, which fades to
// the mean. It is 1 without reports.
func (s *serverReport) relativeTime(now time.Time) float64 {
	if s.mean == 0 {
		return 1
	}
	age := float64(max(0, now.Sub(s.at)))
	return s.mean + (s.serviceTime-s.mean)*math.Exp2(-age/float64(reportHalfLife))
}

// recordRun records a run that has just ended at its normal run time, so that a change of the
// service time counts at once and only once.
func (q *Queue) recordRun(route string, took time.Duration, failed bool, now time.Time) {
	relative := q.report.relativeTime(now)
	if q.report.mean > 0 {
		q.report.mean = smooth(q.report.mean, relative)
	}
	q.stats.RecordRun(route, q.runSample(route, time.Duration(float64(took)/relative)), failed)
}

// foreign returns the number of requests at the server that are not the queue's: those of the
// latest report, which are expected to end one after the other within the time of a run.
func (q *Queue) foreign(now time.Time) int {
	if q.report.foreign == 0 {
		return 0
	}
	left := 1 - float64(now.Sub(q.report.foreignAt))/float64(q.foreignLifetime(now))
	return int(math.Ceil(max(0, left) * float64(q.report.foreign)))
}

func (q *Queue) foreignLifetime(now time.Time) time.Duration {
	return max(minForeignLifetime, time.Duration(float64(q.stats.MeanRunTime())*q.report.relativeTime(now)))
}

// foreignEnd returns the time until the next one of the foreign requests is expected to end. There must
// be one.
func (q *Queue) foreignEnd(now time.Time) time.Duration {
	ended := 1 - float64(q.foreign(now)-1)/float64(q.report.foreign)
	return q.report.foreignAt.Add(time.Duration(ended * float64(q.foreignLifetime(now)))).Sub(now)
}
