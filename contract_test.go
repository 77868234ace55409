package baobabtide_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestContractCheckReportsFieldPath(t *testing.T) {
	tests := map[string]struct {
		change func(c *baobabtide.Contract)
		path   string
	}{
		"no customer":           {func(c *baobabtide.Contract) { c.Customer = "" }, "Customer"},
		"slash in name":         {func(c *baobabtide.Contract) { c.Customer = "a/b" }, "Customer"},
		"no service":            {func(c *baobabtide.Contract) { c.Services = nil }, "Services"},
		"duplicate service":     {func(c *baobabtide.Contract) { c.Services[1] = c.Services[0] }, "Services[1].Service"},
		"no route":              {func(c *baobabtide.Contract) { c.Services[1].Routes = nil }, "Services[1].Routes"},
		"duplicate route":       {func(c *baobabtide.Contract) { c.Services[0].Routes[1].Name = "read" }, "Services[0].Routes[1].Name"},
		"relative path":         {func(c *baobabtide.Contract) { c.Services[0].Routes[0].PathPrefix = "a" }, "Services[0].Routes[0].PathPrefix"},
		"duplicate path prefix": {func(c *baobabtide.Contract) { c.Services[1].Routes[0].PathPrefix = "/a" }, "Services[1].Routes[0].PathPrefix"},
		"lower-case method":     {func(c *baobabtide.Contract) { c.Services[0].Routes[0].Methods[0] = "get" }, "Services[0].Routes[0].Methods[0]"},
		"no timeout":            {func(c *baobabtide.Contract) { c.Services[0].Routes[0].Timeout = 0 }, "Services[0].Routes[0].Timeout"},
		"priority too high":     {func(c *baobabtide.Contract) { c.Services[0].Routes[0].Priority = 10 }, "Services[0].Routes[0].Priority"},
		"negative rate":         {func(c *baobabtide.Contract) { c.Services[0].RequestsPerSecond = -1 }, "Services[0].RequestsPerSecond"},
		"negative cold rate":    {func(c *baobabtide.Contract) { c.Services[0].ColdPerSecond = -1 }, "Services[0].ColdPerSecond"},
		"share above 1":         {func(c *baobabtide.Contract) { c.Services[0].Rollout.MaxBadShare = 1.1 }, "Services[0].Rollout.MaxBadShare"},
		"no requests":           {func(c *baobabtide.Contract) { c.Services[0].Rollout.MaxBadRequests = 0 }, "Services[0].Rollout.MaxBadRequests"},
		"slow factor of 1":      {func(c *baobabtide.Contract) { c.Services[0].Rollout.SlowFactor = 1 }, "Services[0].Rollout.SlowFactor"},
		"error rate of 0":       {func(c *baobabtide.Contract) { c.Services[0].Rollout.FalseRevertRate = 0 }, "Services[0].Rollout.FalseRevertRate"},
		"unknown WhenUndecided": {func(c *baobabtide.Contract) { c.Services[0].Rollout.WhenUndecided = "Wait" }, "Services[0].Rollout.WhenUndecided"},
		"notice too long":       {func(c *baobabtide.Contract) { c.Services[0].Drain.Notice = time.Hour }, "Services[0].Drain.Notice"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := btfixture.Contract("customer", "a", "b")
			if err := c.Check(); err != nil {
				t.Fatalf("contract before the change: %v", err)
			}
			tt.change(c)
			var field *baobabtide.FieldError
			if err := c.Check(); !errors.As(err, &field) {
				t.Fatalf("error %v is not a FieldError", err)
			}
			if diff := cmp.Diff(tt.path, field.Path); diff != "" {
				t.Errorf("path (-want +got):\n%s", diff)
			}
		})
	}
}

// An error without a verdict proves nothing, so the request may have run.
func TestAsRequestErrorDefaultsToMayHaveRun(t *testing.T) {
	got := baobabtide.AsRequestError(errors.New("connection reset")).Verdict
	if diff := cmp.Diff(baobabtide.MayHaveRun, got); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}
