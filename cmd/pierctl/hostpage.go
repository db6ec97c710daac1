package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"peridotpier.example/cmd/internal/exit"
)

// pageBound bounds one call of a host's pages.
const pageBound = 5 * time.Second

// pageMost bounds a host's answer, in bytes.
const pageMost = 4 << 20

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
	data, err := io.ReadAll(io.LimitReader(resp.Body, pageMost))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, &exit.Error{Code: exit.Absent, Err: fmt.Errorf("%s: %s", address, bytes.TrimSpace(data)), Do: "list what there is"}
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, fmt.Errorf("%s answers %d: %s", address, resp.StatusCode, data)
	}
	return data, nil
}
