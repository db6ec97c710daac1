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

// open begins a stream.
func (c *caller) open(ctx context.Context, address, model string, tokens int) (io.ReadCloser, error) {
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

// models lists the models: a request that an engine has no part in.
func (c *caller) models(ctx context.Context, address string) error {
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

// flow is many streams that are kept up at once and counted.
type flow struct {
	caller  *caller
	address string
	model   string
	tokens  int // of each stream; then another follows
	seen    atomic.Int64
	opened  atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	err     error // the first
}

// start keeps n streams up until ctx ends.
func (f *flow) start(ctx context.Context, n int) {
	for range n {
		f.wg.Go(func() {
			for ctx.Err() == nil {
				if err := f.one(ctx); err != nil && ctx.Err() == nil {
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

// one reads one stream and counts its events.
func (f *flow) one(ctx context.Context) error {
	body, err := f.caller.open(ctx, f.address, f.model, f.tokens)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	f.opened.Add(1)
	buf := make([]byte, readBuffer)
	for {
		n, err := body.Read(buf)
		f.seen.Add(int64(bytes.Count(buf[:n], eventEnd)))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// failed returns what went wrong, if anything did.
func (f *flow) failed() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// settle is how long streams run before they are measured.
const settle = 2 * time.Second
