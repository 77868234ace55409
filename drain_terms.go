package baobabtide

import "time"

const (
	usualNotice    = 2200 * time.Millisecond // two failed readiness checks, one a second
	noticeShareNum = 11                      // of the time to the end of a short grace time that the notice may take
	noticeShareDen = 30
	usualExit      = 800 * time.Millisecond // for the last messages and the end of the process
	exitShare      = 6                      // part of a short grace time in which requests may be broken off, less refusalTime
	minExitShare   = 20
	refusalTime    = 100 * time.Millisecond // before the end of the terms, in which requests that still run get their answers
)

// DrainWithin returns the terms of a planned stop for a platform that kills the process after a grace time.
// Requests get all of it but for its last sixth, or the time to exit if that is shorter.
func DrainWithin(grace time.Duration) DrainTerms {
	exit := min(usualExit, max(grace/exitShare-refusalTime, grace/minExitShare))
	notice := min(usualNotice, grace/noticeShareDen*noticeShareNum)
	return DrainTerms{Notice: notice, Finish: min(max(grace-exit-notice, minFinish), maxFinish)}
}
