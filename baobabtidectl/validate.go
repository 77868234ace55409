package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcontract"
	"github.com/baobabtide/baobabtide/btflag"
)

// validateOptions holds the flags of the validate command.
type validateOptions struct {
	Rate int `flag:"rate" default:"0" help:"requests per second that each route gets, 0 if unknown"`
}

// validation is the JSON output of the validate command.
type validation struct {
	Customer string
	Findings []btcontract.Finding
}

func init() {
	options := &validateOptions{}
	c := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a contract and whether its rollouts can collect enough evidence",
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

// validate prints the findings about a contract and fails with an infeasibleError if
// there are any. rate is the number of requests per second that each route gets, 0
// if unknown.
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

// printRates writes the lowest request rate at which each service's rollouts can
// collect enough evidence.
func printRates(w io.Writer, contract *baobabtide.Contract) {
	for i := range contract.Services {
		s := &contract.Services[i]
		fmt.Fprintf(w, "%s: ok, a rollout needs %g requests per second on each route\n", s.Service, btcontract.MinimumRate(&s.Rollout))
	}
}
