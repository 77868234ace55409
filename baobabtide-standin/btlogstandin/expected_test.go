package btlogstandin_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
)

// Of two appends with the same expected offset only the first takes effect.
func TestAppendAtExpectedOffset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := btlogstandin.New(retention, 100)
	server, stop := btlogstandin.NewServer(log)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(stop)
	url := fmt.Sprintf("http://%s/v1/streams/%s/records?%s=", listener.Addr(), stream, btlogstandin.ExpectedParam)
	var got []int
	for _, expected := range []string{"1", "1", "2", "x"} {
		status, _, err := fasthttp.Post(nil, url+expected, nil)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, status)
	}
	want := []int{fasthttp.StatusOK, fasthttp.StatusConflict, fasthttp.StatusOK, fasthttp.StatusBadRequest}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	records, err := read(log, 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"1 ", "2 "}, records); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}
