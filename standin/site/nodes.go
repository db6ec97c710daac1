package site

import "context"

// HostController stops and replaces the entry hosts under test, however they are run.
// Hosts are numbered from 0.
type HostController interface {
	// Kill ends one host abruptly, without a shutdown.
	Kill(host int) error
	// Stop shuts one host down gracefully and returns when it has ended.
	Stop(ctx context.Context, host int) error
	// Replace starts a new host in the place of one that was stopped or killed.
	Replace(ctx context.Context, host int) error
}
