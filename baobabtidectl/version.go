package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

// versionOptions holds the flags of the version publish command.
type versionOptions struct {
	Customers []string `flag:"customer" help:"customers whose traffic moves, by default all whose contract allows the version"`
}

func init() {
	parent := &cobra.Command{Use: "version", Short: "Publish and list versions of services"}
	options, recordOptions := &versionOptions{}, &publishOptions{}
	publishCommand := &cobra.Command{
		Use:   "publish SERVICE VERSION",
		Short: "Release a version: rollouts move traffic to it within the contracted time",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			release := &baobabtide.Release{Service: args[0], Version: args[1], Customers: options.Customers}
			return publishVersion(c, release, recordOptions)
		},
	}
	btflag.Bind(publishCommand.Flags(), options)
	btflag.Bind(publishCommand.Flags(), recordOptions)
	parent.AddCommand(publishCommand, &cobra.Command{
		Use:   "list",
		Short: "List the released versions of each service",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return listVersions(c) },
	})
	register(parent)
}

// fetchVersions returns a client for the node at --node and the released versions of
// each service.
func fetchVersions() (*btoperator.Client, []btoperator.ServiceVersions, error) {
	client, err := global.client()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := global.context()
	defer cancel()
	response, err := client.Versions(ctx)
	if err != nil {
		return nil, nil, err
	}
	return client, response.Services, nil
}

func publishVersion(c *cobra.Command, release *baobabtide.Release, options *publishOptions) error {
	if err := release.Check(); err != nil {
		return err
	}
	client, services, err := fetchVersions()
	if err != nil {
		return err
	}
	var revision baobabtide.Offset
	for _, s := range services {
		if s.Service == release.Service {
			revision = s.Revision
		}
	}
	record := options.record(revision)
	record.Release = release
	return publish(c, client, record)
}

func listVersions(c *cobra.Command) error {
	_, services, err := fetchVersions()
	if err != nil {
		return err
	}
	return global.print(c, services, func(w io.Writer) {
		for _, s := range services {
			fmt.Fprintf(w, "%s  revision %d  %s\n", s.Service, s.Revision, strings.Join(s.Versions, " "))
		}
	})
}
