package baobabtide

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTruncate(t *testing.T) {
	for _, tt := range []struct {
		text string
		most int
		want string
	}{
		{"abc", 3, "abc"},
		{"abcd", 3, "abc"},
		{"aäb", 3, "aä"},
		{"aäb", 2, "a"},
		{"€", 2, ""},
		{"\xff\xff", 1, "\xff"},
		{"\x80\x80", 1, ""},
	} {
		if diff := cmp.Diff(tt.want, Truncate(tt.text, tt.most)); diff != "" {
			t.Errorf("%q, %d bytes (-want +got):\n%s", tt.text, tt.most, diff)
		}
	}
}
