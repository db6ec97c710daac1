package site

import "context"

// HostController are the entry hosts under test, however they are run, by host number.
type HostController interface {
	// Kill ends one host without a word.
	Kill(host int) error
	// Stop shuts one host down gracefully and returns when it has ended.
	Stop(ctx context.Context, host int) error
	// Replace starts a new host in the place of one that ended.
	Replace(ctx context.Context, host int) error
}
