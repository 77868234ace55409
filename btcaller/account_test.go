package btcaller

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

// parse returns the request of a caller.
func parse(t testing.TB, text string) *fasthttp.Request {
	t.Helper()
	in := &fasthttp.Request{}
	if err := in.Header.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	return in
}

// TestReadAccountKey guards against a request that runs with a key other than the one that its
// caller meant, and against a key or a forged account that is forwarded.
func TestReadAccountKey(t *testing.T) {
	digest := func(key string) *baobabtide.KeyDigest {
		d := baobabtide.DigestKey([]byte(key))
		return &d
	}
	invalid := &baobabtide.KeyDigest{}
	tests := map[string]struct {
		header string
		want   *baobabtide.KeyDigest
	}{
		"none":              {"", nil},
		"one":               {"Baobabtide-Account-Key: secret\r\n", digest("secret")},
		"other case":        {"baobabtide-ACCOUNT-key: secret\r\n", digest("secret")},
		"space around":      {"Baobabtide-Account-Key:  \tsecret \r\n", digest("secret")},
		"space within":      {"Baobabtide-Account-Key: secret two\r\n", digest("secret two")},
		"empty":             {"Baobabtide-Account-Key:\r\n", invalid},
		"only space":        {"Baobabtide-Account-Key:   \r\n", invalid},
		"two":               {"Baobabtide-Account-Key: secret\r\nBaobabtide-Account-Key: secret\r\n", invalid},
		"two, one empty":    {"Baobabtide-Account-Key: secret\r\nbaobabtide-account-key:\r\n", invalid},
		"long":              {"Baobabtide-Account-Key: " + strings.Repeat("s", 3000) + "\r\n", digest(strings.Repeat("s", 3000))},
		"hop by hop":        {"Connection: Baobabtide-Account-Key\r\nBaobabtide-Account-Key: secret\r\n", digest("secret")},
		"underscores":       {"Baobabtide_Account_Key: secret\r\n", nil},
		"forged account":    {"Baobabtide-Account: secret\r\n", nil},
		"forged, two":       {"Baobabtide-Account: secret\r\nbaobabtide-account: secret\r\n", nil},
		"forged, underline": {"Baobabtide_Account: secret\r\nbaobabtide-aCCount: secret\r\n", nil},
	}
	s := &Server{Names: DefaultNames()}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req, refusal := s.request(parse(t, "GET / HTTP/1.1\r\nHost: h\r\nX-Other: o\r\n"+tt.header+"\r\n"))
			if refusal != nil {
				t.Fatal(refusal)
			}
			if diff := cmp.Diff(tt.want, req.KeyDigest); diff != "" {
				t.Errorf("digest (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]baobabtide.HeaderField{{Name: "X-Other", Value: "o"}}, req.Header); diff != "" {
				t.Errorf("forwarded headers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnknownKeyStatus guards against an answer to an unknown key that does not say so, or that
// closes the connection, on which requests with another key may follow.
func TestUnknownKeyStatus(t *testing.T) {
	address := start(t, func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		if req.KeyDigest == nil {
			return nil, baobabtide.Refuse(baobabtide.ReasonUnknownKey, 0, nil)
		}
		return btfixture.OKResponse("ok"), nil
	})
	resp, _, err := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false)
	if err != nil {
		t.Fatal(err)
	}
	got := response{resp.StatusCode, resp.Header.Get(HeaderVerdict), resp.Header.Get(HeaderReason)}
	if diff := cmp.Diff(response{401, "not-run", "unknown-key"}, got); diff != "" || resp.Close {
		t.Errorf("closed: %v, response (-want +got):\n%s", resp.Close, diff)
	}
}

// TestKeyAddsNoAllocation guards against work for the garbage collector with each request with a
// key.
func TestKeyAddsNoAllocation(t *testing.T) {
	names := DefaultNames()
	without := parse(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	with := parse(t, "GET / HTTP/1.1\r\nHost: h\r\nBaobabtide-Account-Key: gjqnirth5mgjy5rcpihh\r\n\r\n")
	count := func(in *fasthttp.Request) float64 {
		return testing.AllocsPerRun(100, func() { _ = names.newRequest(in) })
	}
	if diff := cmp.Diff(count(without), count(with)); diff != "" {
		t.Errorf("allocations (-without +with):\n%s", diff)
	}
}

// BenchmarkRequestWithKey compares the conversion of a request with a key to that of one without.
func BenchmarkRequestWithKey(b *testing.B) {
	s := &Server{Names: DefaultNames()}
	for name, header := range map[string]string{"without": "X-Other: gjqnirth5mgjy5rcpihh\r\n", "with": "Baobabtide-Account-Key: gjqnirth5mgjy5rcpihh\r\n"} {
		b.Run(name, func(b *testing.B) {
			in := parse(b, "GET /a/b HTTP/1.1\r\nHost: h\r\nUser-Agent: u\r\nAccept: */*\r\n"+header+"\r\n")
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := s.request(in); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// TestTrailerIsNoKey guards against a key or an account that arrives behind the body, where the
// systems between the caller and the node don't look for it.
func TestTrailerIsNoKey(t *testing.T) {
	var got *baobabtide.KeyDigest
	var header []baobabtide.HeaderField
	address := start(t, func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return nil, err
		}
		got, header = req.KeyDigest, req.Header
		return btfixture.OKResponse("ok"), nil
	})
	text := "POST / HTTP/1.1\r\nHost: h\r\nTrailer: Baobabtide-Account-Key, Baobabtide-Account\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"4\r\nbody\r\n0\r\nBaobabtide-Account-Key: secret\r\nBaobabtide-Account: a\r\n\r\n"
	if _, body, err := send(t, address, text, false); err != nil || body != "ok" {
		t.Fatalf("response %q, %v", body, err)
	}
	if got != nil || len(header) > 0 {
		t.Errorf("digest %v, forwarded headers %v", got, header)
	}
}
