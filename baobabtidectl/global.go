package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btsettings"
	"github.com/baobabtide/baobabtide/bttls"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// globalOptions holds the flags that all commands share.
type globalOptions struct {
	Node    string        `flag:"node" short:"n" default:"127.0.0.1:7003" help:"operator address of a node, host:port"`
	Output  string        `flag:"output" short:"o" default:"text" help:"output format, text or json"`
	Actor   string        `flag:"actor" help:"name to record in the audit trail; by default the name of the current user"`
	Timeout time.Duration `flag:"timeout" default:"30s" help:"time limit of each call to the node, with its repetitions"`
	Cert    string        `flag:"cert" help:"PEM file with the certificate of the operator"`
	Key     string        `flag:"key" help:"PEM file with the private key of the operator"`
	CA      string        `flag:"ca" help:"PEM file with the CA certificates of the nodes; without it the connection is plaintext"`
}

var global globalOptions

// bind adds the flags to root and rejects an unknown --output before any command
// runs.
func (g *globalOptions) bind(root *cobra.Command) {
	btflag.Bind(root.PersistentFlags(), g)
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if g.Output != outputText && g.Output != outputJSON {
			return &baobabtide.FieldError{Path: "--output", Rule: fmt.Sprintf("%q is neither %q nor %q", g.Output, outputText, outputJSON)}
		}
		return nil
	}
}

// client returns a client for the node at --node. The connection uses TLS if --ca is
// set. It fails if a file for TLS can't be read or parsed.
func (g *globalOptions) client() (*btoperator.Client, error) {
	loader, err := bttls.NewLoader(btsettings.TLS{
		Plaintext: g.CA == "",
		CertFile:  g.Cert,
		KeyFile:   g.Key,
		CAFile:    g.CA,
	})
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if loader != nil {
		config = loader.Client()
	}
	return btoperator.NewClient(g.Node, config), nil
}

// context returns a context that expires after --timeout.
func (g *globalOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// actor returns the name for the audit trail: --actor, the name of the current
// user, or "operator" if that is unknown.
func (g *globalOptions) actor() string {
	if g.Actor != "" {
		return g.Actor
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "operator"
}

// print writes to the output of c: v as JSON, or what text writes if --output is
// text.
func (g *globalOptions) print(c *cobra.Command, v any, text func(w io.Writer)) error {
	if g.Output == outputText {
		text(c.OutOrStdout())
		return nil
	}
	data, err := btcodec.EncodeJSON(v)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", data)
	return err
}

// decodeFile decodes and checks a JSON file. Its errors name the file and, if the
// content is invalid, the field and the rule that it violates.
func decodeFile[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	v, err := btcodec.DecodeJSON[T](data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}
