package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

func init() {
	parent := &cobra.Command{Use: "contract", Short: "Publish and read contracts"}
	options := &publishOptions{}
	publishCommand := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a customer's contract",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return publishContract(c, args[0], options) },
	}
	btflag.Bind(publishCommand.Flags(), options)
	parent.AddCommand(
		publishCommand,
		&cobra.Command{
			Use:   "get CUSTOMER",
			Short: "Print a customer's contract",
			Args:  cobra.ExactArgs(1),
			RunE:  func(c *cobra.Command, args []string) error { return getContract(c, args[0]) },
		},
		&cobra.Command{
			Use:   "list",
			Short: "List the contracts in force",
			Args:  cobra.NoArgs,
			RunE:  func(c *cobra.Command, _ []string) error { return listContracts(c) },
		},
	)
	register(parent)
}

// fetchContracts returns a client for the node at --node and the contracts in force on
// it.
func fetchContracts() (*btoperator.Client, []btoperator.Contract, error) {
	client, err := global.client()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := global.context()
	defer cancel()
	response, err := client.Contracts(ctx)
	if err != nil {
		return nil, nil, err
	}
	return client, response.Contracts, nil
}

// findContract returns the contract of a customer and whether there is one.
func findContract(contracts []btoperator.Contract, customer string) (btoperator.Contract, bool) {
	i := slices.IndexFunc(contracts, func(c btoperator.Contract) bool { return c.Contract.Customer == customer })
	if i < 0 {
		return btoperator.Contract{}, false
	}
	return contracts[i], true
}

func publishContract(c *cobra.Command, path string, options *publishOptions) error {
	contract, err := decodeFile[baobabtide.Contract](path)
	if err != nil {
		return err
	}
	client, contracts, err := fetchContracts()
	if err != nil {
		return err
	}
	current, _ := findContract(contracts, contract.Customer)
	record := options.record(current.Revision)
	record.Contract = contract
	return publish(c, client, record)
}

func getContract(c *cobra.Command, customer string) error {
	_, contracts, err := fetchContracts()
	if err != nil {
		return err
	}
	current, ok := findContract(contracts, customer)
	if !ok {
		return &btoperator.Error{Code: btoperator.CodeNotFound, Err: fmt.Errorf("customer %q has no contract", customer)}
	}
	data, err := btcodec.EncodeJSONIndent(current.Contract)
	if err != nil {
		return fmt.Errorf("encode contract: %w", err)
	}
	return global.print(c, current, func(w io.Writer) { fmt.Fprintf(w, "%s\n", data) })
}

func listContracts(c *cobra.Command) error {
	_, contracts, err := fetchContracts()
	if err != nil {
		return err
	}
	return global.print(c, contracts, func(w io.Writer) {
		for _, contract := range contracts {
			fmt.Fprintf(w, "%s  revision %d  %d services\n", contract.Contract.Customer, contract.Revision, len(contract.Contract.Services))
		}
	})
}
