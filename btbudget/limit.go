package btbudget

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	defaultMemory = 1 << 30 // bytes that a process without any limit is taken to have
	minBudget     = 4 << 20 // bytes, the least that serves a few hundred connections

	// A third of the memory is for clients. The rest holds the process without clients (18 MB
	// at the start, more with a large configuration), connections to nodes and backend servers,
	// and garbage that is not collected yet.
	clientDivisor = 3

	// softLimitShare of the memory limit is the limit at which the runtime collects garbage
	// more often. The rest is memory that the runtime doesn't count, such as the program itself.
	softLimitShare = 0.85
)

// ForMemory returns the budget in bytes of a process with a memory limit in bytes.
func ForMemory(memory int64) int64 { return max(minBudget, memory/clientDivisor) }

// SoftLimit returns the limit for the Go runtime of a process with a memory limit in bytes.
func SoftLimit(memory int64) int64 { return int64(float64(memory) * softLimitShare) }

// Memory returns the memory limit of this process in bytes: that of the settings, or of its
// control group if that is 0, or defaultMemory if the group has none.
func Memory(settings int64) int64 {
	if settings > 0 {
		return settings
	}
	if limit := cgroupLimit("/proc/self/cgroup", "/sys/fs/cgroup"); limit > 0 {
		return limit
	}
	return defaultMemory
}

// cgroupLimit returns the lowest memory limit of a process's control group and the groups
// above it, 0 if there is none or if it can't be read. membership is the file that names the
// groups, root the directory of their files.
func cgroupLimit(membership, root string) int64 {
	data, err := os.ReadFile(membership)
	if err != nil {
		return 0
	}
	lowest := int64(0)
	for line := range strings.Lines(string(data)) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) != 3 {
			continue
		}
		dir, file := root, "memory.max"
		if parts[0] != "0" { // version 1
			if parts[1] != "memory" {
				continue
			}
			dir, file = filepath.Join(root, "memory"), "memory.limit_in_bytes"
		}
		for path := filepath.Clean("/" + parts[2]); ; path = filepath.Dir(path) {
			if limit := readLimit(filepath.Join(dir, path, file)); limit > 0 && (lowest == 0 || limit < lowest) {
				lowest = limit
			}
			if path == "/" {
				break
			}
		}
	}
	return lowest
}

// maxCgroupLimit is above any real limit: version 1 names a number close to the largest
// integer where there is none.
const maxCgroupLimit = math.MaxInt64 / 4

// readLimit returns the limit that a file holds, 0 if it holds none.
func readLimit(path string) int64 {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	if err != nil || limit <= 0 || limit > maxCgroupLimit {
		return 0
	}
	return limit
}
