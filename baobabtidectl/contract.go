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

func contracts() (*btoperator.Client, []btoperator.Contract, error) {
	client, err := global.client()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := global.context()
	defer cancel()
	answer, err := client.Contracts(ctx)
	if err != nil {
		return nil, nil, err
	}
	return client, answer.Contracts, nil
}

func findContract(all []btoperator.Contract, customer string) (btoperator.Contract, bool) {
	i := slices.IndexFunc(all, func(c btoperator.Contract) bool { return c.Contract.Customer == customer })
	if i < 0 {
		return btoperator.Contract{}, false
	}
	return all[i], true
}

func publishContract(c *cobra.Command, path string, options *publishOptions) error {
	contract, err := decodeFile[baobabtide.Contract](path)
	if err != nil {
		return err
	}
	client, all, err := contracts()
	if err != nil {
		return err
	}
	found, _ := findContract(all, contract.Customer)
	record := options.record(found.Revision)
	record.Contract = contract
	return publish(c, client, record)
}

func getContract(c *cobra.Command, customer string) error {
	_, all, err := contracts()
	if err != nil {
		return err
	}
	found, ok := findContract(all, customer)
	if !ok {
		return &btoperator.Error{Code: btoperator.CodeNotFound, Err: fmt.Errorf("customer %q has no contract", customer)}
	}
	data, err := btcodec.EncodeJSONIndent(found.Contract)
	if err != nil {
		return fmt.Errorf("encode contract: %w", err)
	}
	return global.print(c, found, func(w io.Writer) { fmt.Fprintf(w, "%s\n", data) })
}

func listContracts(c *cobra.Command) error {
	_, all, err := contracts()
	if err != nil {
		return err
	}
	return global.print(c, all, func(w io.Writer) {
		for _, contract := range all {
			fmt.Fprintf(w, "%s  revision %d  %d services\n", contract.Contract.Customer, contract.Revision, len(contract.Contract.Services))
		}
	})
}
