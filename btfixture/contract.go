// Package btfixture builds domain values for tests.
package btfixture

import (
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Terms returns the terms of a service with an idempotent route "read" and a
// non-idempotent route "write".
func Terms(service string) baobabtide.ServiceTerms {
	return baobabtide.ServiceTerms{
		Service: service,
		Routes: []baobabtide.RouteTerms{
			{Name: "read", Methods: []string{"GET"}, PathPrefix: "/" + service, Idempotent: true, Timeout: time.Second},
			{Name: "write", Methods: []string{"POST"}, PathPrefix: "/" + service, Timeout: time.Second},
		},
		Rollout: RolloutTerms(),
		Drain:   baobabtide.DrainTerms{Notice: time.Second, Finish: time.Second},
	}
}

// RolloutTerms returns terms for rollouts that complete within ten minutes.
func RolloutTerms() baobabtide.RolloutTerms {
	return baobabtide.RolloutTerms{
		CompleteWithin:  10 * time.Minute,
		MaxBadShare:     0.1,
		MaxBadRequests:  200,
		FailureMargin:   0.1,
		SlowFactor:      3,
		FalseRevertRate: 0.005,
		MissedBadRate:   0.005,
		Watch:           time.Minute,
		WhenUndecided:   baobabtide.UndecidedRevert,
	}
}

// Contract returns a customer's contract with the terms that Terms returns for each
// service.
func Contract(customer string, services ...string) *baobabtide.Contract {
	c := &baobabtide.Contract{Customer: customer}
	for _, s := range services {
		c.Services = append(c.Services, Terms(s))
	}
	return c
}

// Members returns count nodes, each with one ready target of a version. Nodes are
// assigned to zones, and targets to services, round-robin.
func Members(count, zones, services int, version string) []baobabtide.Member {
	members := make([]baobabtide.Member, 0, count)
	for i := range count {
		name := fmt.Sprintf("node-%04d", i)
		members = append(members, baobabtide.Member{
			Name:        name,
			Zone:        fmt.Sprintf("zone-%d", i%zones),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7004", i/250, i%250),
			Incarnation: 1,
			Sequence:    1,
			Targets: []baobabtide.Target{{
				Name:        name + "-" + version,
				Service:     fmt.Sprintf("service-%d", i%services),
				Version:     version,
				State:       baobabtide.TargetReady,
				Slots:       15,
				Connections: 130,
				Incarnation: 1,
			}},
		})
	}
	return members
}
