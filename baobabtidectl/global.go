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

const (
	outputText = "text"
	outputJSON = "json"
)

// globalOptions are the flags of all commands.
type globalOptions struct {
	Node    string        `flag:"node" short:"n" default:"127.0.0.1:7003" help:"operators' address of a node, host:port"`
	Output  string        `flag:"output" short:"o" default:"text" help:"text or json"`
	Actor   string        `flag:"actor" help:"name in the audit trail, the user's by default"`
	Timeout time.Duration `flag:"timeout" default:"30s" help:"time for the whole command"`
	Cert    string        `flag:"cert" help:"PEM certificate of the operator"`
	Key     string        `flag:"key" help:"PEM key of the operator"`
	CA      string        `flag:"ca" help:"PEM certificates that sign nodes; without it the connection is plaintext"`
}

var global globalOptions

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

// client returns a client for the chosen node.
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

// context returns a context that ends with the command's time.
func (g *globalOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// actor returns the name for the audit trail.
func (g *globalOptions) actor() string {
	if g.Actor != "" {
		return g.Actor
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// print writes v as JSON or by the text function.
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

// decodeFile reads a JSON file. Its errors name the file, the field and the
// rule.
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
