package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
)

// pageTimeout bounds one call of a host's pages.
const pageTimeout = 5 * time.Second

// maxPageBytes bounds a host's answer, in bytes.
const maxPageBytes = 4 << 20

// hostPage is what the commands share that ask a host of a routed deployment, at
// its metrics address.
type hostPage struct {
	address   string
	printJSON bool
}

func (p *hostPage) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "metrics", "", "metrics address of a host, IP:port")
	f.BoolVar(&p.printJSON, "json", false, "print JSON")
}

// execute checks the address and runs the command within the time of one call.
func (p *hostPage) execute(ctx context.Context, f *flag.FlagSet, usage string, run func(context.Context) error) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(p.address); err != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, usage)
		return exit.Usage
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		return exit.Print(os.Stderr, p.printJSON, err)
	}
	return exit.OK
}

// listPage prints each entry of a page by its line, or the page as it is.
func listPage[T any](ctx context.Context, p *hostPage, path string, line func(*T) string) error {
	data, err := callPage(ctx, http.MethodGet, p.address, path)
	if err != nil {
		return err
	}
	if p.printJSON {
		_, err = os.Stdout.Write(data)
		return err
	}
	var entries []T
	if err := json.Unmarshal(data, &entries); err != nil {
		return fmt.Errorf("answer of %s: %w", p.address, err)
	}
	for i := range entries {
		fmt.Println(line(&entries[i]))
	}
	return nil
}

// callPage calls a page at a host's metrics address.
func callPage(ctx context.Context, method, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, &exit.Error{Code: exit.NotFound, Err: fmt.Errorf("%s: %s", address, bytes.TrimSpace(data)), Hint: "list what there is"}
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, fmt.Errorf("%s answers %d: %s", address, resp.StatusCode, data)
	}
	return data, nil
}
