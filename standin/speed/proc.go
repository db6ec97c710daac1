package speed

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor time in /proc, 1/100 s on every Linux.
const clockTick = 10 * time.Millisecond

// residentKB reads a process's resident memory.
func residentKB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read memory")
	}
	for _, line := range bytes.Split(data, []byte{'\n'}) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			f := bytes.Fields(rest)
			return strconv.ParseFloat(string(f[0]), 64)
		}
	}
	return 0, eris.Errorf("process %d shows no resident memory", pid)
}

// Fields of /proc/PID/stat after the command's name, from 0.
const (
	statUser   = 11
	statSystem = 12
)

// processorTime reads how long a process has computed so far.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:]) // the name may hold spaces
	if len(fields) <= statSystem {
		return 0, eris.Errorf("process %d shows no processor time", pid)
	}
	var sum time.Duration
	for _, i := range []int{statUser, statSystem} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "read processor time")
		}
		sum += time.Duration(n) * clockTick
	}
	return sum, nil
}
