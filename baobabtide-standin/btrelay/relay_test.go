package btrelay

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var (
	everyone = netip.MustParsePrefix("0.0.0.0/0")
	node     = netip.MustParsePrefix("127.0.0.2/32") // address that the targets of testRelay listen on
)

// testRelay is a relay to one target at the address of node.
type testRelay struct {
	*Relay
	target net.Listener
	listen string
}

func newTestRelay(t *testing.T, dial func(network, address string) (net.Conn, error)) *testRelay {
	t.Helper()
	target, err := net.Listen("tcp", node.Addr().String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	r, stop := New()
	r.dial = dial
	t.Cleanup(func() {
		stop()
		_ = target.Close()
	})
	if err := r.Open(Link{Listen: "127.0.0.3:0", Target: target.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	return &testRelay{Relay: r, target: target, listen: r.listeners[0].Addr().String()}
}

// A rule that is set while the relay connects to the target applies to the connection.
func TestRuleSetWhileConnecting(t *testing.T) {
	for _, mode := range []Mode{Cut, Freeze} {
		t.Run(string(mode), func(t *testing.T) {
			dialing, ruleSet := make(chan struct{}), make(chan struct{})
			r := newTestRelay(t, func(network, address string) (net.Conn, error) {
				close(dialing)
				<-ruleSet
				return net.Dial(network, address)
			})
			client, err := net.Dial("tcp", r.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			<-dialing
			r.SetRules([]Rule{{From: everyone, To: node, Mode: mode}})
			r.SetRules(nil)
			close(ruleSet)
			server, err := r.target.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			_, _ = io.WriteString(client, "dropped") // fails if the relay has closed the connection already
			if client, ok := client.(*net.TCPConn); ok {
				_ = client.CloseWrite()
			}
			got, _ := io.ReadAll(server) // ends with an error if the connection was reset
			if diff := cmp.Diff("", string(got)); diff != "" {
				t.Errorf("data that arrived, -want +got:\n%s", diff)
			}
		})
	}
}

