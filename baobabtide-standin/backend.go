package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/btcodec"
)

// backendFile is the input file of the backend command.
type backendFile struct {
	Servers []btbackendstandin.Spec
}

func init() {
	register(&cobra.Command{
		Use:   "backend FILE",
		Short: "Run stand-ins for backend servers",
		Long:  "Runs a stand-in for each backend server that a JSON file lists. Each announces itself to the node beside it.",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return runBackends(args[0]) },
	})
}

// runBackends runs the backend servers of a file until the process is signaled to
// stop.
func runBackends(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read backend servers: %w", err)
	}
	file, err := btcodec.DecodeJSON[backendFile](data)
	if err != nil {
		return fmt.Errorf("backend servers %s: %w", path, err)
	}
	for _, spec := range file.Servers {
		_, stop, err := btbackendstandin.Start(spec)
		if err != nil {
			return err
		}
		defer stop()
	}
	waitForSignal()
	return nil
}
