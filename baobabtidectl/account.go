package main

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

// accountOptions holds the flags of the account commands.
type accountOptions struct {
	Customer string `flag:"customer" help:"customer whose accounts to show; by default those of all customers"`
}

func init() { register(accountCommand()) }

// accountCommand returns the command with its subcommands.
func accountCommand() *cobra.Command {
	parent := &cobra.Command{Use: "account", Short: "Show the client accounts in force on a node"}
	options := &accountOptions{}
	btflag.Bind(parent.PersistentFlags(), options)
	parent.AddCommand(
		&cobra.Command{
			Use:   "list",
			Short: "List the client accounts with their priorities and limits",
			Args:  cobra.NoArgs,
			RunE:  func(c *cobra.Command, _ []string) error { return listAccounts(c, options) },
		},
		&cobra.Command{
			Use:   "show NAME",
			Short: "Show a client account with the digests of its keys",
			Args:  cobra.ExactArgs(1),
			RunE:  func(c *cobra.Command, args []string) error { return showAccount(c, args[0], options) },
		},
	)
	return parent
}

// fetchAccounts returns the accounts in force on the node at --node. An empty customer or name
// stands for all.
func fetchAccounts(customer, name string) (*btoperator.Accounts, error) {
	client, err := global.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := global.context()
	defer cancel()
	found, err := client.Accounts(ctx)
	if err != nil {
		return nil, err
	}
	kept := make([]btoperator.Account, 0, len(found.Accounts))
	for _, a := range found.Accounts {
		if (customer == "" || a.Customer == customer) && (name == "" || a.Name == name) {
			kept = append(kept, a)
		}
	}
	found.Accounts = kept
	return found, nil
}

func listAccounts(c *cobra.Command, options *accountOptions) error {
	found, err := fetchAccounts(options.Customer, "")
	if err != nil {
		return err
	}
	return global.print(c, found, func(w io.Writer) { writeAccounts(w, found.Accounts) })
}

func showAccount(c *cobra.Command, name string, options *accountOptions) error {
	found, err := fetchAccounts(options.Customer, name)
	if err != nil {
		return err
	}
	if len(found.Accounts) == 0 {
		return &btoperator.Error{Code: btoperator.CodeNotFound, Err: fmt.Errorf("account %q is not in the configuration at offset %s of node %q", name, found.Offset, found.Node)}
	}
	return global.print(c, found, func(w io.Writer) {
		writeAccounts(w, found.Accounts)
		fmt.Fprintf(w, "configuration at offset %s of node %s\n", found.Offset, found.Node)
		for _, a := range found.Accounts {
			for _, key := range a.Keys {
				fmt.Fprintf(w, "%s/%s  key with SHA-256 digest %s\n", a.Customer, a.Name, key)
			}
		}
	})
}

// writeAccounts writes a table of accounts.
func writeAccounts(w io.Writer, accounts []btoperator.Account) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tACCOUNT\tKEYS\tPRIORITY\tREQUESTS/S\tBURST")
	for i := range accounts {
		a := &accounts[i]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\n", a.Customer, a.Name, len(a.Keys), a.Priority, limitOrDash(a.RequestsPerSecond), limitOrDash(a.Burst))
	}
	_ = t.Flush()
}

// limitOrDash formats a limit, 0 as a dash.
func limitOrDash(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return strconv.FormatFloat(limit, 'f', -1, 64)
}
