package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btoperator"
)

func init() {
	register(&cobra.Command{
		Use:   "status",
		Short: "Show the traffic of each customer and service and the state of each node",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return showStatus(c) },
	})
}

func showStatus(c *cobra.Command) error {
	client, err := global.client()
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return global.print(c, status, func(w io.Writer) {
		printAssignments(w, status)
		fmt.Fprintln(w)
		printNodes(w, status)
		printRateLimits(w, status)
		printAccounts(w, status)
	})
}

// printAssignments writes a table with the traffic of each customer to each service.
func printAssignments(w io.Writer, s *btoperator.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tSERVICE\tSHARES\tSTAGE\tDEADLINE\tOUTCOME\tREASON")
	for i := range s.Assignments {
		a := &s.Assignments[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", a.Customer, a.Service, formatShares(a), orDash(a.Phase), formatDeadline(a), orDash(string(a.Result)), orDash(a.Reason))
	}
	_ = t.Flush()
}

// formatShares returns the share of each version, and the assigned version if no target
// of it is known.
func formatShares(a *btoperator.AssignmentStatus) string {
	parts := make([]string, 0, len(a.Shares))
	for _, s := range a.Shares {
		parts = append(parts, fmt.Sprintf("%s=%.0f%%", s.Version, 100*s.Share))
	}
	if a.Held != "" {
		parts = append(parts, "waiting for targets of "+a.Held)
	}
	return strings.Join(parts, " ")
}

// formatDeadline returns the deadline of the running rollout, or a dash if none is
// running.
func formatDeadline(a *btoperator.AssignmentStatus) string {
	if a.Phase == "" {
		return "-"
	}
	return a.Deadline.Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// printNodes writes a table with the state of each node.
func printNodes(w io.Writer, s *btoperator.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tZONE\tSTATUS\tVERSION\tPEERS\tMEMBERS\tREADER\tLOG")
	for i := range s.Nodes {
		n := &s.Nodes[i]
		state := n.Status.String()
		if n.Draining {
			state += ", draining"
		}
		if !n.Reachable {
			fmt.Fprintf(t, "%s\t%s\t%s\t-\t-\t-\t-\t-\n", n.Name, n.Zone, state)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", n.Name, n.Zone, state, n.Offset, n.Peers, n.Members, yesOrDash(n.Reader), logState(n))
	}
	_ = t.Flush()
}

// printRateLimits writes a table with the rate limits that backend servers name, and nothing
// if there are none.
func printRateLimits(w io.Writer, s *btoperator.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	empty := true
	for i := range s.Nodes {
		for _, limit := range s.Nodes[i].RateLimits {
			if empty {
				fmt.Fprintln(t, "\nSERVER\tNODE\tREQUESTS/S\tSINCE")
				empty = false
			}
			fmt.Fprintf(t, "%s\t%s\t%g\t%s\n", limit.Server, s.Nodes[i].Name, limit.PerSecond, limit.Since.UTC().Format(time.RFC3339))
		}
	}
	_ = t.Flush()
}

// printAccounts writes a table with the limits of the largest accounts, summed up over the nodes, and
// nothing if there are none.
func printAccounts(w io.Writer, s *btoperator.Status) {
	type key struct{ customer, account string }
	sums := make(map[key]*baobabtide.AccountStatus)
	for i := range s.Nodes {
		for _, a := range s.Nodes[i].Accounts {
			sum := sums[key{a.Customer, a.Account}]
			if sum == nil {
				sum = &baobabtide.AccountStatus{Customer: a.Customer, Account: a.Account}
				sums[key{a.Customer, a.Account}] = sum
			}
			sum.RequestsPerSecond, sum.Burst = max(sum.RequestsPerSecond, a.RequestsPerSecond), max(sum.Burst, a.Burst)
			sum.Use = max(sum.Use, a.Use)
			sum.Admitted += a.Admitted
			sum.Refused += a.Refused
		}
	}
	if len(sums) == 0 {
		return
	}
	accounts := slices.SortedFunc(maps.Values(sums), func(a, b *baobabtide.AccountStatus) int {
		return cmp.Or(cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Account, b.Account))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nCUSTOMER\tACCOUNT\tREQUESTS/S\tBURST\tUSE\tADMITTED\tREFUSED")
	for _, a := range accounts {
		fmt.Fprintf(t, "%s\t%s\t%g\t%g\t%.2f\t%d\t%d\n", a.Customer, a.Account, a.RequestsPerSecond, a.Burst, a.Use, a.Admitted, a.Refused)
	}
	_ = t.Flush()
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

// logState returns "up" or "down" for a node that reads the log, depending on whether
// it reaches the log, and a dash for other nodes.
func logState(n *btoperator.NodeStatus) string {
	switch {
	case !n.Reader:
		return "-"
	case n.LogUp:
		return "up"
	default:
		return "down"
	}
}
