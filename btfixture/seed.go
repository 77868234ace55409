package btfixture

import (
	"flag"
	"testing"
)

// RunSeeded runs the tests of a package and returns the exit code. Property tests of
// pgregory.net/rapid get a fixed seed, so that each run gives the same result, and write
// no failure files. It overrides the flags of the command line, and panics if the
// package does not import rapid.
func RunSeeded(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package has no property tests
		}
	}
	return m.Run()
}
