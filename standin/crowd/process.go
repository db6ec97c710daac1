package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// Command returns a command that may have a number of open descriptors.
func Command(descriptors int, program string, args ...string) *exec.Cmd {
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), program}, args...)
	return exec.Command("sh", limited...)
}

// PeakMemory returns the largest resident memory that a process has had, in bytes.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 10, 64)
			return n << 10, err
		}
	}
	return 0, fmt.Errorf("process %d states no peak of its memory", pid)
}

// Descriptors returns how many descriptors a process has open.
func Descriptors(pid int) (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all), err
}
