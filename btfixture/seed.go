package btfixture

import (
	"flag"
	"testing"
)

// RunSeeded runs the tests of a package with a fixed seed for the property tests of
// pgregory.net/rapid, so that each run gives the same result, and without failure
// files. It overrides the flags of the command line, panics if the package does not
// import rapid, and returns the exit code.
func RunSeeded(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package has no property tests
		}
	}
	return m.Run()
}
