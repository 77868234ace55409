package baobabtide

import (
	"fmt"
	"strings"
	"time"
)

// Contract holds every limit that applies to one customer.
type Contract struct {
	Customer string
	Services []ServiceTerms
}

// ServiceTerms are a customer's limits for one service.
type ServiceTerms struct {
	Service           string
	Versions          []string `json:",omitempty"` // versions that may carry the traffic, empty for every version
	RequestsPerSecond float64  `json:",omitempty"` // per admitting node, 0 for no limit
	Routes            []RouteTerms
	Rollout           RolloutTerms
	Drain             DrainTerms
}

// RouteTerms describe one kind of request.
type RouteTerms struct {
	Name       string
	Methods    []string `json:",omitempty"` // empty for every method
	PathPrefix string   // unique within the contract, the longest match wins
	Idempotent bool
	Priority   int           `json:",omitempty"` // higher goes first under overload
	Timeout    time.Duration // time a request may take from end to end
}

// Policy on a rollout that ran out of time without enough evidence.
const (
	UndecidedComplete = "Complete"
	UndecidedRevert   = "Revert"
)

// RolloutTerms bound the move to a new version.
type RolloutTerms struct {
	CompleteWithin  time.Duration // from the acceptance of the release
	MaxBadShare     float64       // largest share of traffic before enough evidence
	MaxBadRequests  int           // largest number of requests per route before enough evidence
	FailureMargin   float64       // rise of the failure rate over the old version that makes a version bad
	SlowFactor      float64       // latency against the old version's 95th percentile that counts as a failure
	FalseRevertRate float64       // accepted probability of taking back a good version
	MissedBadRate   float64       // accepted probability of completing a bad version
	Watch           time.Duration // time after completion in which a bad version is still taken back
	WhenUndecided   string        // UndecidedComplete or UndecidedRevert
}

// DrainTerms bound how a leaving backend server loses its work.
type DrainTerms struct {
	Notice time.Duration // new work ends this long after the announcement at the latest
	Finish time.Duration // time left to requests that have begun
}

// Bounds on a contract.
const (
	maxServices  = 512
	maxRoutes    = 64
	maxVersions  = 64
	maxTimeout   = 10 * time.Minute
	maxRollout   = 7 * 24 * time.Hour
	maxPriority  = 9
	minFinish    = 100 * time.Millisecond
	maxNotice    = time.Minute
	maxErrorRate = 0.5
)

// Check reports the first field that breaks a rule.
func (c *Contract) Check() error {
	if err := checkName("Customer", c.Customer); err != nil {
		return err
	}
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		return Fieldf("Services", "%d entries, 1 to %d are allowed", len(c.Services), maxServices)
	}
	services := make(map[string]bool, len(c.Services))
	prefixes := make(map[string]string)
	for i := range c.Services {
		s := &c.Services[i]
		if err := s.Check(); err != nil {
			return WithinIndex("Services", i, err)
		}
		if services[s.Service] {
			return Fieldf(fmt.Sprintf("Services[%d].Service", i), "%q stands twice", s.Service)
		}
		services[s.Service] = true
		if err := checkPrefixes(s, prefixes); err != nil {
			return WithinIndex("Services", i, err)
		}
	}
	return nil
}

// checkPrefixes reports a route whose requests another route claims.
func checkPrefixes(s *ServiceTerms, seen map[string]string) error {
	for i := range s.Routes {
		r := &s.Routes[i]
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			key := m + " " + r.PathPrefix
			if other, ok := seen[key]; ok {
				return Fieldf(fmt.Sprintf("Routes[%d].PathPrefix", i), "%q is taken by route %q", key, other)
			}
			seen[key] = r.Name
		}
	}
	return nil
}

// Check reports the first field that breaks a rule.
func (s *ServiceTerms) Check() error {
	if err := checkName("Service", s.Service); err != nil {
		return err
	}
	if len(s.Versions) > maxVersions {
		return Fieldf("Versions", "%d entries exceed %d", len(s.Versions), maxVersions)
	}
	for i, v := range s.Versions {
		if err := checkName(fmt.Sprintf("Versions[%d]", i), v); err != nil {
			return err
		}
	}
	if s.RequestsPerSecond < 0 {
		return Fieldf("RequestsPerSecond", "%g is negative", s.RequestsPerSecond)
	}
	if len(s.Routes) == 0 || len(s.Routes) > maxRoutes {
		return Fieldf("Routes", "%d entries, 1 to %d are allowed", len(s.Routes), maxRoutes)
	}
	names := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		if err := s.Routes[i].Check(); err != nil {
			return WithinIndex("Routes", i, err)
		}
		if names[s.Routes[i].Name] {
			return Fieldf(fmt.Sprintf("Routes[%d].Name", i), "%q stands twice", s.Routes[i].Name)
		}
		names[s.Routes[i].Name] = true
	}
	if err := s.Rollout.Check(); err != nil {
		return Within("Rollout", err)
	}
	if err := s.Drain.Check(); err != nil {
		return Within("Drain", err)
	}
	return nil
}

// Allows tells whether a version may carry the customer's traffic.
func (s *ServiceTerms) Allows(version string) bool {
	if len(s.Versions) == 0 {
		return true
	}
	for _, v := range s.Versions {
		if v == version {
			return true
		}
	}
	return false
}

// Check reports the first field that breaks a rule.
func (r *RouteTerms) Check() error {
	if err := checkName("Name", r.Name); err != nil {
		return err
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return Fieldf("PathPrefix", "%q does not start with /", r.PathPrefix)
	}
	for i, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m {
			return Fieldf(fmt.Sprintf("Methods[%d]", i), "%q is not an HTTP method", m)
		}
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		return Fieldf("Priority", "%d, 0 to %d are allowed", r.Priority, maxPriority)
	}
	if r.Timeout <= 0 || r.Timeout > maxTimeout {
		return Fieldf("Timeout", "%s, more than 0s up to %s are allowed", r.Timeout, maxTimeout)
	}
	return nil
}

// Check reports the first field that breaks a rule.
func (r *RolloutTerms) Check() error {
	if r.CompleteWithin <= 0 || r.CompleteWithin > maxRollout {
		return Fieldf("CompleteWithin", "%s, more than 0s up to %s are allowed", r.CompleteWithin, maxRollout)
	}
	if r.MaxBadShare <= 0 || r.MaxBadShare > 1 {
		return Fieldf("MaxBadShare", "%g, more than 0 up to 1 are allowed", r.MaxBadShare)
	}
	if r.MaxBadRequests < 1 {
		return Fieldf("MaxBadRequests", "%d is less than 1", r.MaxBadRequests)
	}
	if r.FailureMargin <= 0 || r.FailureMargin > 1 {
		return Fieldf("FailureMargin", "%g, more than 0 up to 1 are allowed", r.FailureMargin)
	}
	if r.WhenUndecided != UndecidedComplete && r.WhenUndecided != UndecidedRevert {
		return Fieldf("WhenUndecided", "%q is neither %q nor %q", r.WhenUndecided, UndecidedComplete, UndecidedRevert)
	}
	return r.checkTest()
}

// checkTest reports the first field of the sequential test that breaks a rule.
func (r *RolloutTerms) checkTest() error {
	if r.SlowFactor <= 1 {
		return Fieldf("SlowFactor", "%g is not more than 1", r.SlowFactor)
	}
	if r.FalseRevertRate <= 0 || r.FalseRevertRate >= maxErrorRate {
		return Fieldf("FalseRevertRate", "%g, between 0 and %g are allowed", r.FalseRevertRate, maxErrorRate)
	}
	if r.MissedBadRate <= 0 || r.MissedBadRate >= maxErrorRate {
		return Fieldf("MissedBadRate", "%g, between 0 and %g are allowed", r.MissedBadRate, maxErrorRate)
	}
	if r.Watch < 0 || r.Watch > maxRollout {
		return Fieldf("Watch", "%s, 0s to %s are allowed", r.Watch, maxRollout)
	}
	return nil
}

// Check reports the first field that breaks a rule.
func (d *DrainTerms) Check() error {
	if d.Notice < 0 || d.Notice > maxNotice {
		return Fieldf("Notice", "%s, 0s to %s are allowed", d.Notice, maxNotice)
	}
	if d.Finish < minFinish || d.Finish > maxTimeout {
		return Fieldf("Finish", "%s, %s to %s are allowed", d.Finish, minFinish, maxTimeout)
	}
	return nil
}

// checkName reports a name that is empty, too long or not printable ASCII.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameLength {
		return Fieldf(field, "%q, 1 to %d bytes are allowed", name, maxNameLength)
	}
	for _, c := range name {
		if c <= ' ' || c > '~' || c == '"' || c == '/' {
			return Fieldf(field, "%q holds the character %q", name, c)
		}
	}
	return nil
}
