package btnode

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/btconfig"
)

// TestPullPrefersOwnZone guards against configurations that are pulled from another zone, whose
// bytes are paid for, while a node of the own zone has them.
func TestPullPrefersOwnZone(t *testing.T) {
	newEdge := func(name string, doubted bool) *edge {
		e := &edge{name: name, position: btconfig.Position{Offset: 2}, doubted: doubted}
		e.ctx, e.cancel = context.WithCancelCause(context.Background())
		return e
	}
	local, remote, doubted := newEdge("local", false), newEdge("remote", false), newEdge("doubted", true)
	isLocal := func(name string) bool { return name != "remote" }
	tests := []struct {
		name  string
		edges []*edge
		asked *edge
		want  string
	}{
		{"local first", []*edge{remote, local, doubted}, nil, "local"},
		{"remote rather than doubted", []*edge{doubted, remote}, nil, "remote"},
		{"not the one that has not answered", []*edge{local, remote}, local, "remote"},
		{"the one that has not answered if there is no other", []*edge{local}, local, "local"},
		{"none", nil, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s edges
			for _, e := range tt.edges {
				s.add(e)
			}
			got := ""
			if e := s.ahead(btconfig.Position{Offset: 1}, tt.asked, isLocal); e != nil {
				got = e.name
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("edge (-want +got):\n%s", diff)
			}
		})
	}
}
