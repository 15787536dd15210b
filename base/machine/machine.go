// Package machine reads what a process may use of the machine that it runs on.
package machine

import (
	"io/fs"
	"strconv"
	"strings"
	"syscall"
)

// cgroupFiles hold the memory limit of the control group, of version 2 and 1.
var cgroupFiles = []string{"sys/fs/cgroup/memory.max", "sys/fs/cgroup/memory/memory.limit_in_bytes"}

// memInfo holds the memory of the machine.
const memInfo = "proc/meminfo"

// Memory returns the memory that the process may use, in bytes: the limit of its control group,
// or else the memory of the machine; zero if neither is known. Root is the root of the file
// system.
func Memory(root fs.FS) int64 {
	total := machineMemory(root)
	for _, name := range cgroupFiles {
		text, err := fs.ReadFile(root, name)
		if err != nil {
			continue
		}
		// Without a limit, the file says max, or a number above any memory.
		limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		if err == nil && limit > 0 && (total == 0 || limit < total) {
			return limit
		}
	}
	return total
}

// machineMemory returns the memory of the machine in bytes; zero if it isn't known.
func machineMemory(root fs.FS) int64 {
	text, err := fs.ReadFile(root, memInfo)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil || kilobytes < 0 {
			return 0
		}
		return kilobytes << 10
	}
	return 0
}

// Descriptors returns how many files and connections the process may have open; zero if it
// isn't known.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}
