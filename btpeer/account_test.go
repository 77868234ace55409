package btpeer

import (
	"testing"

	"github.com/baobabtide/baobabtide"
)

// TestAccountOfForwardedRequest guards against an account or a priority from another node that no
// contract allows: a line end would add a header, and each priority has its own statistics.
func TestAccountOfForwardedRequest(t *testing.T) {
	valid := RequestHead{Attempt: "a", Method: "GET", Path: "/", Account: "hule930", Priority: baobabtide.MaxRequestPriority}
	if err := valid.Check(); err != nil {
		t.Errorf("a valid head: %v", err)
	}
	for name, change := range map[string]func(*RequestHead){
		"line end":          func(h *RequestHead) { h.Account = "a\r\nb: c" },
		"negative priority": func(h *RequestHead) { h.Priority = -1 },
		"high priority":     func(h *RequestHead) { h.Priority = baobabtide.MaxRequestPriority + 1 },
	} {
		head := valid
		change(&head)
		if head.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
