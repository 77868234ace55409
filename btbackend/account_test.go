package btbackend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

// TestAccountHeader guards against a backend server that takes what a caller sent for the account
// of a request: only the field Account decides, also if an older node has forwarded the header.
func TestAccountHeader(t *testing.T) {
	tests := map[string]struct {
		names   HeaderNames
		account string
		header  []baobabtide.HeaderField
		want    []string // values of the header
	}{
		"account":            {DefaultNames(), "a", nil, []string{"a"}},
		"space":              {DefaultNames(), "Swan Coast", nil, []string{"Swan Coast"}},
		"tab, outside ASCII": {DefaultNames(), "Grün\tß", nil, []string{"Grün\tß"}},
		"none":               {DefaultNames(), "", nil, nil},
		"forged":             {DefaultNames(), "a", []baobabtide.HeaderField{{Name: HeaderAccount, Value: "b"}}, []string{"a"}},
		"forged, no account": {DefaultNames(), "", []baobabtide.HeaderField{{Name: HeaderAccount, Value: "b"}}, nil},
		"no header name":     {HeaderNames{}, "a", nil, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Names: tt.names}
			req := request(time.Second)
			req.Account, req.Header = tt.account, tt.header
			var out fasthttp.Request
			p.fillRequest(&out, req)
			var got []string
			for _, value := range out.Header.PeekAll(HeaderAccount) {
				got = append(got, string(value))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("account headers (-want +got):\n%s", diff)
			}
		})
	}
}
