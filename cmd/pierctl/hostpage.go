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

// pageTimeout bounds one run of a command that calls a host's pages.
const pageTimeout = 5 * time.Second

// maxPageBytes bounds how much of a host's answer is read.
const maxPageBytes = 4 << 20

// hostPage has the flags that are shared by the commands that call a host of a routed
// deployment at its metrics address.
type hostPage struct {
	address   string
	printJSON bool
}

func (p *hostPage) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "metrics", "", "metrics address of a host, IP:port")
	f.BoolVar(&p.printJSON, "json", false, "print JSON")
}

// execute checks the address and calls run with a timeout of pageTimeout.
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

// listPage prints a page that is a JSON array: a line for each entry, or with --json the
// page as received.
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

// callPage sends a request to a path at a host's metrics address and returns the body of
// the answer. Status codes of 400 and above are errors.
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
