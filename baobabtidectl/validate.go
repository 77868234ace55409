package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcontract"
	"github.com/baobabtide/baobabtide/btflag"
)

// validateOptions are the flags of the validate command.
type validateOptions struct {
	Rate int `flag:"rate" default:"0" help:"requests a second that each route gets, 0 if not known"`
}

// validation is the result of the validate command.
type validation struct {
	Customer string
	Findings []btcontract.Finding
}

func init() {
	options := &validateOptions{}
	c := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a contract and whether it can be met",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			contract, err := decodeFile[baobabtide.Contract](args[0])
			if err != nil {
				return err
			}
			return validate(c, contract, float64(options.Rate))
		},
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

func validate(c *cobra.Command, contract *baobabtide.Contract, rate float64) error {
	result := &validation{Customer: contract.Customer, Findings: btcontract.Analyze(contract, rate)}
	err := global.print(c, result, func(w io.Writer) {
		for _, f := range result.Findings {
			fmt.Fprintln(w, f)
		}
		if len(result.Findings) == 0 {
			printRates(w, contract)
		}
	})
	if err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &infeasibleError{findings: len(result.Findings)}
	}
	return nil
}

// printRates says which request rates the rollouts need.
func printRates(w io.Writer, contract *baobabtide.Contract) {
	for i := range contract.Services {
		s := &contract.Services[i]
		fmt.Fprintf(w, "%s: ok, a rollout needs %g requests a second on each route\n", s.Service, btcontract.MinimumRate(&s.Rollout))
	}
}
