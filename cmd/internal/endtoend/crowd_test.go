package endtoend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/crowd"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

const (
	// crowdMembers is how many clients come at once.
	crowdMembers = 400
	// crowdMemoryMB and crowdDescriptors are the memory and the descriptors of the host's machine.
	crowdMemoryMB, crowdDescriptors = 256, 300
	// crowdMaxDescriptors is how many of these clients may take, so that the host can work for others.
	crowdMaxDescriptors = crowdDescriptors * 7 / 8
	// crowdHeadBytes is the settings' limit of a head, and crowdBodyBytes a quarter of the
	// configuration's limit of a body.
	crowdHeadBytes, crowdBodyBytes = 16 << 10, 1 << 20
	// ordinaryTries is how often an ordinary caller asks while a crowd is there, for at most
	// ordinaryTimeout each time.
	ordinaryTries, ordinaryTimeout, ordinaryPause = 12, 2 * time.Second, 250 * time.Millisecond
	// startTries is ordinaryTries while the host starts.
	startTries = 60
)

// servingHost is a host that runs as a process with few descriptors.
type servingHost struct {
	layout *local.Layout
	cmd    *exec.Cmd
	out    bytes.Buffer
	ended  chan struct{} // closed when the process has ended
}

func (h *servingHost) entry() local.EntryLayout { return h.layout.Entries[0] }

// Guards against clients that end a host, or keep it from its ordinary callers, by heads over the limit or
// without an end and by bodies that stop short of their end, at any of its listeners.
func TestCrowdsLeaveAServingHostAlive(t *testing.T) {
	heads, bodies := crowd.HeadKinds(), crowd.BodyKinds()
	for listener, target := range map[string]func(h *servingHost) crowd.Target{
		"callers": func(h *servingHost) crowd.Target {
			return crowd.Target{Address: h.entry().Caller, Head: "POST /v1/services/stock-lookup/notes HTTP/1.1\r\nHost: a\r\nIdempotency-Key: crowd\r\nAuthorization: Bearer " + h.layout.TeamKey + "\r\n"}
		},
		"operators": func(h *servingHost) crowd.Target {
			return crowd.Target{Address: h.entry().Operator, Head: "POST /v1/configuration HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + local.OperatorKey + "\r\n"}
		},
		"peers": func(h *servingHost) crowd.Target { return crowd.Target{Address: h.entry().Peer} },
	} {
		for name, kinds := range map[string][]crowd.Kind{"heads": heads, "bodies": bodies, "fields": crowd.FieldKinds()} {
			if listener == "peers" && name == "bodies" {
				kinds = crowd.MessageKinds()
			}
			t.Run(listener+"/"+name, func(t *testing.T) {
				h := startServingHost(t)
				to := target(h)
				to.HeadLimit, to.BodyLimit = crowdHeadBytes, crowdBodyBytes
				c := crowd.Gather(to, kinds, crowdMembers)
				defer c.Leave()
				h.check(t)
				c.Leave()
				h.check(t)
			})
		}
	}
}

func startServingHost(t *testing.T) *servingHost {
	s, err := site.Load("kathmandu")
	assert.NilError(t, err)
	in, err := local.StartStandInServer(t.Context(), local.StandInServerOptions{Site: s, Seed: 1, Hosts: 1, Dir: t.TempDir()})
	assert.NilError(t, err)
	t.Cleanup(in.Close)
	h := &servingHost{layout: &in.Layout, ended: make(chan struct{})}
	h.cmd = crowd.Command(crowdDescriptors, filepath.Join(bin, "peridotpier"), "serve", "--settings", h.entry().Settings)
	h.cmd.Stdout, h.cmd.Stderr = &h.out, &h.out
	assert.NilError(t, h.cmd.Start())
	go func() { _ = h.cmd.Wait(); close(h.ended) }()
	t.Cleanup(func() {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.ended
	})
	h.awaitOrdinary(t, startTries)
	return h
}

// ordinary sends an ordinary request of a caller.
func (h *servingHost) ordinary(t *testing.T, method, url, key string) error {
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// awaitOrdinary sends ordinary requests of a caller and of an operator until one of each is answered.
func (h *servingHost) awaitOrdinary(t *testing.T, tries int) {
	t.Helper()
	for _, r := range []struct{ method, url, key string }{
		{http.MethodGet, "http://" + h.entry().Caller + "/v1/services/stock-lookup/items", h.layout.TeamKey},
		{http.MethodGet, "http://" + h.entry().Operator + "/readyz", local.OperatorKey},
	} {
		var last error
		for range tries {
			if last = h.ordinary(t, r.method, r.url, r.key); last == nil {
				break
			}
			select {
			case <-h.ended:
				out := h.out.String()
				t.Fatalf("the process has ended: %s", out[max(0, len(out)-2000):])
			case <-time.After(ordinaryPause):
			}
		}
		if last != nil {
			t.Errorf("an ordinary request is not answered: %v", last)
		}
	}
}

// check checks that the process lives, what it takes, and that it serves.
func (h *servingHost) check(t *testing.T) {
	t.Helper()
	h.awaitOrdinary(t, ordinaryTries)
	peak, err := crowd.PeakMemory(h.cmd.Process.Pid)
	assert.NilError(t, err)
	open, err := crowd.Descriptors(h.cmd.Process.Pid)
	assert.NilError(t, err)
	t.Logf("peak %d MB, %d descriptors", peak>>20, open)
	assert.Check(t, peak <= crowdMemoryMB<<20, "%d MB", peak>>20)
	assert.Check(t, open <= crowdMaxDescriptors, "%d descriptors", open)
}
