package baobabtide

import (
	"fmt"
	"strings"
	"time"
)

// Contract holds all limits and rules that apply to the requests of one customer.
type Contract struct {
	Customer string
	Revision uint64        `json:",omitempty"` // publisher's revision number, at least that of the current contract; 0 if the publisher has none
	Callers  *CallerLimits `json:",omitempty"` // nil for the limits of the node's settings
	Services []ServiceTerms
	Accounts []Account `json:",omitempty"` // if there are any, requests on routes that are not public need the key of one
}

// CallerLimits bounds the size and duration of callers' requests. A field that is
// zero leaves the limit of the node's settings in place.
type CallerLimits struct {
	HeaderBytes   int           `json:",omitempty"` // largest request header
	BodyBytes     int           `json:",omitempty"` // largest request body
	HeaderTimeout time.Duration `json:",omitzero"`  // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration `json:",omitzero"`  // between two requests on one connection
}

// ServiceTerms holds a customer's limits and rules for one service.
type ServiceTerms struct {
	Service           string
	Versions          []string `json:",omitempty"` // versions that may get the customer's traffic, empty for every version
	Unversioned       bool     `json:",omitempty"` // every announced version gets traffic, except those that a rollout moves traffic to or has reverted
	RequestsPerSecond float64  `json:",omitempty"` // per admitting node, 0 for no limit
	ColdPerSecond     float64  `json:",omitempty"` // requests of all customers to a backend server while it is cold, 0 for no limit
	Routes            []RouteTerms
	Rollout           RolloutTerms
	Drain             DrainTerms
}

// RouteTerms describes the requests that match a route and how to handle them.
type RouteTerms struct {
	Name        string
	Host        string         `json:",omitempty"` // host of the request, empty for every host
	Methods     []string       `json:",omitempty"` // empty for every method
	PathPrefix  string         // unique per contract, host and method; the longest match wins
	Idempotent  bool           // requests may be retried even if they may have run
	Split       []ServiceShare `json:",omitempty"` // services that share the traffic, empty for the service that holds the route
	Priority    int            `json:",omitempty"` // under overload, requests of higher priority go first
	MaxAttempts int            `json:",omitempty"` // largest number of targets that one request may reach, 0 for the node's default
	Objective   time.Duration  `json:",omitzero"`  // latency objective, 0 for Timeout; responses are still delivered until Timeout
	Timeout     time.Duration  // largest duration of a request, all attempts included
	Public      bool           `json:",omitempty"` // requests need no account
}

// ServiceShare is the share of a route's traffic that goes to one service.
type ServiceShare struct {
	Service string
	Weight  int // relative to the sum of the weights in the split
}

// Values of RolloutTerms.WhenUndecided: the outcome of a rollout that runs out of
// time without enough evidence.
const (
	UndecidedComplete = "Complete"
	UndecidedRevert   = "Revert"
)

// RolloutTerms bounds the move of traffic to a new version and sets the
// parameters of the sequential test that decides whether the version is bad.
type RolloutTerms struct {
	CompleteWithin  time.Duration // time from the acceptance of the release to the deadline of the rollout
	MaxBadShare     float64       // largest share of traffic, 0 to 1, while there is not enough evidence
	MaxBadRequests  int           // largest number of requests per route while there is not enough evidence
	FailureMargin   float64       // difference to the old version's failure rate at which a version is bad
	SlowFactor      float64       // a request slower than this multiple of the old version's 95th percentile counts as a failure
	FalseRevertRate float64       // accepted probability of reverting a good version
	MissedBadRate   float64       // accepted probability of completing a bad version
	Watch           time.Duration // time to watch the version after completion; validated, but not used
	WhenUndecided   string        // UndecidedComplete or UndecidedRevert
}

// DrainTerms bounds the time of a planned stop of a node.
type DrainTerms struct {
	Notice time.Duration // the node still accepts requests for this long, until callers go elsewhere
	Finish time.Duration // time for requests in flight after that
}

// Bounds on the fields of a contract and of an outcome's evidence.
const (
	maxServices  = 1 << 14
	maxRoutes    = 1 << 14
	maxEvidence  = 1 << 10 // routes in an outcome's evidence
	maxSplit     = maxServices
	maxHost      = 253 // bytes, the longest DNS name
	maxVersions  = 64
	maxTimeout   = 24 * time.Hour
	maxFinish    = 10 * time.Minute
	maxPriority  = 9
	minFinish    = 100 * time.Millisecond
	maxNotice    = time.Minute
	maxErrorRate = 0.5 // of FalseRevertRate and MissedBadRate

	MaxWeight         = 1 << 20            // of a ServiceShare
	MaxAttempts       = 16                 // of a route
	MaxCompleteWithin = 7 * 24 * time.Hour // of a rollout
)

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (c *Contract) Check() error {
	if err := CheckName("Customer", c.Customer); err != nil {
		return err
	}
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		return Fieldf("Services", "%d entries, 1 to %d are allowed", len(c.Services), maxServices)
	}
	services := make(map[string]bool, len(c.Services))
	if c.Callers != nil {
		if err := c.Callers.Check(); err != nil {
			return Within("Callers", err)
		}
	}
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
	if err := c.checkSplits(services); err != nil {
		return err
	}
	return checkAccounts(c.Accounts)
}

// checkSplits returns an error for the first route that shares its traffic with a
// service that is not in the contract.
func (c *Contract) checkSplits(services map[string]bool) error {
	for i := range c.Services {
		for j := range c.Services[i].Routes {
			for _, share := range c.Services[i].Routes[j].Split {
				if !services[share.Service] {
					return Fieldf(fmt.Sprintf("Services[%d].Routes[%d].Split", i, j), "service %q is not in the contract", share.Service)
				}
			}
		}
	}
	return nil
}

// checkPrefixes returns an error for the first route that has a method, host and
// path prefix in common with another. seen maps these to the name of their route;
// it holds the routes of the services checked before.
func checkPrefixes(s *ServiceTerms, seen map[string]string) error {
	for i := range s.Routes {
		r := &s.Routes[i]
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			key := m + " " + r.Host + r.PathPrefix
			if other, ok := seen[key]; ok {
				return Fieldf(fmt.Sprintf("Routes[%d].PathPrefix", i), "%q is taken by route %q", key, other)
			}
			seen[key] = r.Name
		}
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (s *ServiceTerms) Check() error {
	if err := CheckName("Service", s.Service); err != nil {
		return err
	}
	if len(s.Versions) > maxVersions {
		return Fieldf("Versions", "%d entries exceed %d", len(s.Versions), maxVersions)
	}
	for i, v := range s.Versions {
		if err := CheckName(fmt.Sprintf("Versions[%d]", i), v); err != nil {
			return err
		}
	}
	if s.RequestsPerSecond < 0 {
		return Fieldf("RequestsPerSecond", "%g is negative", s.RequestsPerSecond)
	}
	if s.ColdPerSecond < 0 {
		return Fieldf("ColdPerSecond", "%g is negative", s.ColdPerSecond)
	}
	if len(s.Routes) > maxRoutes || (len(s.Routes) == 0 && !s.Unversioned) {
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

// Allows reports whether a version may get the customer's traffic.
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

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (r *RouteTerms) Check() error {
	if err := CheckName("Name", r.Name); err != nil {
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
	if r.Objective < 0 || r.Objective > maxTimeout {
		return Fieldf("Objective", "%s, 0s to %s are allowed", r.Objective, maxTimeout)
	}
	if r.MaxAttempts < 0 || r.MaxAttempts > MaxAttempts {
		return Fieldf("MaxAttempts", "%d, 0 to %d are allowed", r.MaxAttempts, MaxAttempts)
	}
	if len(r.Host) > maxHost {
		return Fieldf("Host", "%d bytes exceed %d", len(r.Host), maxHost)
	}
	return r.checkSplit()
}

// checkSplit returns an error for the first share that is invalid or if no share
// has a weight.
func (r *RouteTerms) checkSplit() error {
	if len(r.Split) > maxSplit {
		return Fieldf("Split", "%d entries exceed %d", len(r.Split), maxSplit)
	}
	sum := 0
	for i, share := range r.Split {
		if err := CheckName("Service", share.Service); err != nil {
			return WithinIndex("Split", i, err)
		}
		if share.Weight < 0 || share.Weight > MaxWeight {
			return Fieldf(fmt.Sprintf("Split[%d].Weight", i), "%d, 0 to %d are allowed", share.Weight, MaxWeight)
		}
		sum += share.Weight
	}
	if len(r.Split) > 0 && sum == 0 {
		return Fieldf("Split", "all weights are 0")
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (l *CallerLimits) Check() error {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"HeaderBytes", l.HeaderBytes}, {"BodyBytes", l.BodyBytes}} {
		if size.bytes < 0 {
			return Fieldf(size.name, "%d is negative", size.bytes)
		}
	}
	for _, limit := range []struct {
		name string
		time time.Duration
	}{{"HeaderTimeout", l.HeaderTimeout}, {"IdleTimeout", l.IdleTimeout}} {
		if limit.time < 0 || limit.time > maxTimeout {
			return Fieldf(limit.name, "%s, 0s to %s are allowed", limit.time, maxTimeout)
		}
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (r *RolloutTerms) Check() error {
	if r.CompleteWithin <= 0 || r.CompleteWithin > MaxCompleteWithin {
		return Fieldf("CompleteWithin", "%s, more than 0s up to %s are allowed", r.CompleteWithin, MaxCompleteWithin)
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
	return r.checkSequentialTest()
}

// checkSequentialTest checks SlowFactor, FalseRevertRate, MissedBadRate and Watch.
func (r *RolloutTerms) checkSequentialTest() error {
	if r.SlowFactor <= 1 {
		return Fieldf("SlowFactor", "%g is not more than 1", r.SlowFactor)
	}
	if r.FalseRevertRate <= 0 || r.FalseRevertRate >= maxErrorRate {
		return Fieldf("FalseRevertRate", "%g, between 0 and %g are allowed", r.FalseRevertRate, maxErrorRate)
	}
	if r.MissedBadRate <= 0 || r.MissedBadRate >= maxErrorRate {
		return Fieldf("MissedBadRate", "%g, between 0 and %g are allowed", r.MissedBadRate, maxErrorRate)
	}
	if r.Watch < 0 || r.Watch > MaxCompleteWithin {
		return Fieldf("Watch", "%s, 0s to %s are allowed", r.Watch, MaxCompleteWithin)
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (d *DrainTerms) Check() error {
	if d.Notice < 0 || d.Notice > maxNotice {
		return Fieldf("Notice", "%s, 0s to %s are allowed", d.Notice, maxNotice)
	}
	if d.Finish < minFinish || d.Finish > maxFinish {
		return Fieldf("Finish", "%s, %s to %s are allowed", d.Finish, minFinish, maxFinish)
	}
	return nil
}

// CheckName returns a FieldError if a name is empty, too long or has a character
// other than printable ASCII without space, quotation mark and slash.
func CheckName(field, name string) error {
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
