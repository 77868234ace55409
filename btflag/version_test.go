package btflag

import (
	"runtime/debug"
	"testing"
)

func TestVersionOf(t *testing.T) {
	setting := func(key, value string) debug.BuildSetting { return debug.BuildSetting{Key: key, Value: value} }
	tests := map[string]struct {
		info debug.BuildInfo
		want string
	}{
		"released": {debug.BuildInfo{Main: debug.Module{Version: "v1.2.0"}}, "v1.2.0"},
		"commit": {debug.BuildInfo{
			Main:     debug.Module{Version: "(devel)"},
			Settings: []debug.BuildSetting{setting("vcs.revision", "abc"), setting("vcs.modified", "false")},
		}, "commit abc"},
		"modified": {debug.BuildInfo{
			Settings: []debug.BuildSetting{setting("vcs.revision", "abc"), setting("vcs.modified", "true")},
		}, "commit abc, changed since"},
		"no build information": {debug.BuildInfo{}, "unknown"},
	}
	for name, tt := range tests {
		if got := versionOf(&tt.info); got != tt.want {
			t.Errorf("%s: %q, want %q", name, got, tt.want)
		}
	}
}
