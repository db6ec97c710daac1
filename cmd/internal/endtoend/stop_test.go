package endtoend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against an operator's command that fails with a closed connection because its
// request arrives while the host stops: a stop has to wait for operators' requests as it
// waits for callers'.
func TestAStopAnswersAnOperator(t *testing.T) {
	f := newFleet(t)
	address := f.run.OperatorAddresses()[0]
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\n")
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- f.run.Stop(0) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Success()
		}
		_ = nc.Close()
		return poll.Continue("the host still accepts operators' connections")
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(15*time.Second))
	_, err = io.WriteString(c, "Host: site.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Assert(t, resp.Close, "the next request must go to another host")
	assert.NilError(t, <-stopped)
}
