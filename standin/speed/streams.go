package speed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/standin/local"
)

// caller sends requests with the key of a team.
type caller struct {
	client *http.Client
	key    string
}

// idleConns is enough to keep every connection of a measurement open, so that none is dialled
// again during it.
const idleConns = 8192

func newCaller(l *local.Layout) *caller {
	return &caller{key: l.TeamKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}}
}

// openStream requests a stream of a number of tokens and returns its body, which must be
// closed.
func (c *caller) openStream(ctx context.Context, address, model string, tokens int) (io.ReadCloser, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, model, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // for the message only
		_ = resp.Body.Close()
		return nil, eris.Errorf("%s: %s", resp.Status, text)
	}
	return resp.Body, nil
}

// listModels requests the list of models, which a host answers without an engine.
func (c *caller) listModels(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// streamLoad keeps a number of streams open and counts their events.
type streamLoad struct {
	caller  *caller
	address string
	model   string
	tokens  int // of each stream; a new one follows its end
	events  atomic.Int64
	opened  atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	err     error // the first error
}

// start keeps n streams open until ctx ends; a stream that fails is not replaced.
func (f *streamLoad) start(ctx context.Context, n int) {
	for range n {
		f.wg.Go(func() {
			for ctx.Err() == nil {
				if err := f.readStream(ctx); err != nil && ctx.Err() == nil {
					f.mu.Lock()
					if f.err == nil {
						f.err = err
					}
					f.mu.Unlock()
					return
				}
			}
		})
	}
}

// readBuffer is the size of the buffer of a stream, in bytes.
const readBuffer = 32 << 10

// eventEnd ends an event of a stream of server-sent events.
var eventEnd = []byte("\n\n")

// readStream opens one stream, reads it to its end and counts its events.
func (f *streamLoad) readStream(ctx context.Context) error {
	body, err := f.caller.openStream(ctx, f.address, f.model, f.tokens)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	f.opened.Add(1)
	buf := make([]byte, readBuffer)
	for {
		n, err := body.Read(buf)
		f.events.Add(int64(bytes.Count(buf[:n], eventEnd)))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// firstError returns the error of the first stream that failed, if any did.
func (f *streamLoad) firstError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// warmUp is the time for which streams and requests run before they are measured.
const warmUp = 2 * time.Second
