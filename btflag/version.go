package btflag

import "runtime/debug"

// BuildVersion returns the version of the running program: the version of its
// main module, or else the commit that it was built from, or else "unknown".
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionOf(info)
}

// versionOf returns the version that info holds. A commit is followed by ", changed
// since" if the program was built from a modified work tree.
func versionOf(info *debug.BuildInfo) string {
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	commit, suffix := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			commit = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				suffix = ", changed since"
			}
		}
	}
	if commit == "" {
		return "unknown"
	}
	return "commit " + commit + suffix
}
