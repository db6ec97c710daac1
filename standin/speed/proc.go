package speed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/metrics"
	"peridotpier.example/standin/local"
)

// memoryUse is the memory that a host uses.
type memoryUse struct {
	usedKB      float64 // live heap and stacks
	stacksKB    float64
	residentKB  float64
	collections int64 // garbage collections since the host started
}

// readMemory reads the memory of the second host from its metrics and from /proc.
func readMemory(ctx context.Context, cfg Config, c *caller) (memoryUse, error) {
	resident, err := residentKB(cfg.UnrestrictedPID)
	if err != nil {
		return memoryUse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cfg.Layout.Entries[1].Operator+"/debug/vars", nil)
	if err != nil {
		return memoryUse{}, err
	}
	req.Header.Set("Authorization", "Bearer "+local.OperatorKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return memoryUse{}, eris.Wrap(err, "request metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	var vars map[metrics.Name]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return memoryUse{}, eris.Wrap(err, "read metrics")
	}
	var live, stacks, n int64
	err = errors.Join(json.Unmarshal(vars[metrics.HeapLive], &live), json.Unmarshal(vars[metrics.Stacks], &stacks),
		json.Unmarshal(vars[metrics.Collections], &n))
	return memoryUse{usedKB: float64(live+stacks) / 1024, stacksKB: float64(stacks) / 1024, residentKB: resident, collections: n}, err
}

// clockTick is the unit of processor time in /proc, 1/100 s on every Linux.
const clockTick = 10 * time.Millisecond

// residentKB returns the resident memory of a process.
func residentKB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read memory")
	}
	for _, line := range bytes.Split(data, []byte{'\n'}) {
		if value, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			f := bytes.Fields(value)
			return strconv.ParseFloat(string(f[0]), 64)
		}
	}
	return 0, eris.Errorf("process %d shows no resident memory", pid)
}

// Indexes of the fields of /proc/PID/stat that follow the command's name, from 0.
const (
	statUserField   = 11
	statSystemField = 12
)

// cpuTime returns the processor time that a process has used, in user and system mode.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:]) // the command's name may contain spaces
	if len(fields) <= statSystemField {
		return 0, eris.Errorf("process %d shows no processor time", pid)
	}
	var sum time.Duration
	for _, i := range []int{statUserField, statSystemField} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "read processor time")
		}
		sum += time.Duration(n) * clockTick
	}
	return sum, nil
}
