package main

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btoperator"
)

// accountNode is a node that knows three accounts. It serves no other call.
type accountNode struct {
	*btoperator.Client
}

func (accountNode) Accounts(context.Context) (*btoperator.Accounts, error) {
	limited := baobabtide.Account{Name: "hule930", Keys: []baobabtide.KeyDigest{baobabtide.DigestKey([]byte("k"))}, Priority: 8, RequestsPerSecond: 595, Burst: 60.5}
	return &btoperator.Accounts{Node: "n", Offset: 7, Accounts: []btoperator.Account{
		{Customer: "mesh", Account: limited}, {Customer: "mesh", Account: baobabtide.Account{Name: "other"}}, {Customer: "toets", Account: baobabtide.Account{Name: "other"}},
	}}, nil
}

// TestAccountCommands guards against a command that hides accounts, mixes up those of customers, or
// reports success for an account that does not exist.
func TestAccountCommands(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, stop := btoperator.NewServer(accountNode{btoperator.NewClient("127.0.0.1:1", nil)})
	go func() { _ = server.Serve(listener, nil) }()
	defer stop()
	const (
		header = "CUSTOMER  ACCOUNT  KEYS  PRIORITY  REQUESTS/S  BURST\n"
		hule   = "mesh      hule930  1     8         595         60.5\n"
		mesh   = "mesh      other    0     0         -           -\n"
		toets  = "toets     other    0     0         -           -\n"
		at     = "configuration at offset 7 of node n\n"
		digest = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"
	)
	tests := map[string]struct {
		args []string
		want string
		code btoperator.ErrorCode
	}{
		"list":             {[]string{"list"}, header + hule + mesh + toets, ""},
		"list of customer": {[]string{"list", "--customer", "toets"}, "CUSTOMER  ACCOUNT  KEYS  PRIORITY  REQUESTS/S  BURST\n" + toets, ""},
		"show":             {[]string{"show", "hule930"}, header + hule + at + "mesh/hule930  key with SHA-256 digest " + digest + "\n", ""},
		"show unknown":     {[]string{"show", "nobody"}, "", btoperator.CodeNotFound},
		"not of customer":  {[]string{"show", "hule930", "--customer", "toets"}, "", btoperator.CodeNotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			command := accountCommand()
			command.SetArgs(tt.args)
			command.SetOut(&out)
			command.SilenceUsage, command.SilenceErrors = true, true
			global = globalOptions{Node: listener.Addr().String(), Output: outputText, Timeout: 10 * time.Second}
			err := command.Execute()
			var apiErr *btoperator.Error
			code := btoperator.ErrorCode("")
			if errors.As(err, &apiErr) {
				code = apiErr.Code
			} else if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.code, code); diff != "" {
				t.Errorf("error code (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.want, out.String()); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}
