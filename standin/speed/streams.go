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

// caller opens streams.
type caller struct {
	client *http.Client
	key    string
}

// idleConns keeps every connection of a measurement, so that none is dialled
// anew within it.
const idleConns = 8192

func newCaller(l *local.Layout) *caller {
	return &caller{key: l.TeamKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}}
}

// openStream begins a stream.
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

// listModels lists the models: a request that an engine has no part in.
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

// streamLoad is many streams that are kept up at once and counted.
type streamLoad struct {
	caller  *caller
	address string
	model   string
	tokens  int // of each stream; then another follows
	events  atomic.Int64
	opened  atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	err     error // the first
}

// start keeps n streams up until ctx ends.
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

const readBuffer = 32 << 10

var eventEnd = []byte("\n\n")

// readStream reads one stream and counts its events.
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

// firstError returns what went wrong, if anything did.
func (f *streamLoad) firstError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// warmUp is how long streams run before they are measured.
const warmUp = 2 * time.Second
