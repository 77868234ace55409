package btsettings

import (
	"strings"
	"testing"

	"github.com/baobabtide/baobabtide/btcodec"
)

// TestNewFieldsAreLeftOut guards against settings that a node of an earlier version refuses, although they use
// none of the fields that it doesn't know.
func TestNewFieldsAreLeftOut(t *testing.T) {
	data, err := btcodec.EncodeJSON(Default())
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"ProbeRequests", "GraceSeconds", "MemoryMegabytes", "LinkMegabits", "Placement"} {
		if strings.Contains(string(data), field) {
			t.Errorf("%s stands in %s", field, data)
		}
	}
}
