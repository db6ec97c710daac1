// Package endtoend tests both binaries by running them as an operator does.
package endtoend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/operatorapi"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

var bin string // folder with the built binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "endtoend")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "peridotpier.example/cmd/pierctl", "peridotpier.example/cmd/peridotpier")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// result is the exit code and output of a command.
type result struct {
	t      *testing.T
	args   []string
	code   int
	stdout string
	stderr string
}

// command runs one of the binaries with the local operator's key.
func command(t *testing.T, binary string, args ...string) result {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(bin, binary), args...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	cmd.Env = append(os.Environ(), "PIERCTL_KEY="+local.OperatorKey)
	err := cmd.Run()
	var ended *exec.ExitError
	assert.Assert(t, err == nil || errors.As(err, &ended), "%v", err)
	return result{t, args, cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// exits asserts the exit code.
func (r result) exits(code int) result {
	r.t.Helper()
	assert.Equal(r.t, r.code, code, "%v\n%s%s", r.args, r.stdout, r.stderr)
	return r
}

// into decodes the JSON on standard output into v.
func (r result) into(v any) result {
	r.t.Helper()
	assert.NilError(r.t, json.Unmarshal([]byte(r.stdout), v), "%v printed %s", r.args, r.stdout)
	return r
}

// fleet is two running entry hosts of the built-in site "kathmandu".
type fleet struct {
	t   *testing.T
	run *local.RunningSite
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	s, err := site.Load("kathmandu")
	assert.NilError(t, err)
	s.Store.HostListLagMs = 0 // the hosts find each other by the host list; the test need not wait for its lag
	r, err := local.Start(t.Context(), local.Options{Site: s, Seed: 1, Hosts: 2})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	f := &fleet{t, r}
	for i := range 2 {
		f.awaitPeers(i)
	}
	return f
}

// awaitPeers waits until a host is linked with the other one. Before that, each host
// correctly treats itself as the only one.
func (f *fleet) awaitPeers(host int) {
	f.t.Helper()
	for {
		var s operatorapi.Status
		f.pierctl(host, "status").exits(0).into(&s)
		if slices.ContainsFunc(s.Peers, func(p operatorapi.Peer) bool { return p.Linked }) {
			return
		}
		select {
		case <-f.t.Context().Done():
			f.t.Fatal("the hosts did not link in time")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// node returns the URL of the operators' API of a host, numbered from 0.
func (f *fleet) node(i int) string { return "http://" + f.run.OperatorAddresses()[i] }

// pierctl runs pierctl with --json against a host.
func (f *fleet) pierctl(host int, args ...string) result {
	f.t.Helper()
	return command(f.t, "pierctl", append(args, "--json", "--node", f.node(host))...)
}
