package btexperiment

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/btcodec"
)

func TestCheckOfLimitsAndHolds(t *testing.T) {
	tests := map[string]struct {
		change func(*Experiment)
		want   string
	}{
		"as in the file": {func(*Experiment) {}, ""},
		"hold":           {func(e *Experiment) { e.Faults = []Fault{{Kind: HoldNodes}} }, ""},
		"hold without relay": {func(e *Experiment) {
			*e = Experiment{Experiment: "x", Contract: e.Contract, Duration: 1, Faults: []Fault{{Kind: HoldNodes}}}
		}, "Faults[0].Kind: HoldNodes needs Deployment.Relay"},
		"limit without relay":    {func(e *Experiment) { e.Deployment.Relay = false }, "Deployment.Services[2].LinkRate: 2000000, 0 or a positive rate with Deployment.Relay is allowed"},
		"limit that is negative": {func(e *Experiment) { e.Deployment.Services = []btdeploy.Service{{LinkRate: -1}} }, "Deployment.Services[0].LinkRate: -1, 0 or a positive rate with Deployment.Relay is allowed"},
	}
	data, err := os.ReadFile("../../experiments/full-link-60.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e, err := btcodec.DecodeJSON[Experiment](data)
			if err != nil {
				t.Fatal(err)
			}
			tt.change(e)
			got := ""
			if err := e.Check(); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}
