// Package store holds the interfaces to what the platform gives: a
// transactional table service, an object store, a list of hosts and a weight
// store. Everything that must be agreed or kept goes through them. The true
// protocols may differ from site to site, so each interface is small and the
// rest of the system sees nothing else.
package store

import (
	"context"
	"errors"
	"time"
)

// The errors of a table or object call. They wrap into fault.Error at the
// caller's step.
var (
	// ErrUnavailable: the service refused or was not reached; nothing took effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrInDoubt: the answer was lost; the call may or may not have taken effect.
	// Resolve it by Resolve, never by assuming failure.
	ErrUnconfirmed = errors.New("platform answer lost, effect unknown")
	// ErrConflict: a condition did not hold; nothing took effect.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("not found")
	// ErrLimited: over the rate the platform allows; nothing took effect.
	ErrLimited = errors.New("platform rate limit")
)

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // set by the service: the number of the commit that wrote the row; never 0, never reused
}

// Absent is the version of a row that does not exist, in a condition.
const Absent uint64 = 0

// Cond demands that a row still has a version.
type Cond struct {
	Key     string
	Version uint64 // Absent demands that there is no such row
}

// Write replaces or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn takes effect whole or not at all.
type Txn struct {
	// Op is the operation's id, unique to one intended effect. Committing a
	// Txn again under the same Op has no second effect and answers what the
	// first one did; the service keeps ids for at least OpMemory.
	Op     string
	Conds  []Cond
	Writes []Write
}

// OpRetention is how long the table service remembers operation ids at least.
const OpRetention = 10 * time.Minute

// Table is the transactional table service. Every commit counts as one write
// and every Get or List as one read against the platform's limits.
type Table interface {
	// Commit applies t and returns the version that its rows got.
	// Errors: ErrConflict, ErrUnavailable, ErrLimited, ErrInDoubt.
	Commit(ctx context.Context, t Txn) (version uint64, err error)
	// Get reads rows in one consistent read; absent rows are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List reads up to limit rows whose keys start with prefix and sort after
	// the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store: immutable blobs by name. Putting a name again
// with the same content succeeds, so a Put in doubt is simply repeated; with
// other content it is ErrConflict. A read that fails is ErrUnavailable.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// HostState is what the platform says of a host.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
)

// The roles of hosts.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Host is one entry of the platform's list of hosts, which lags behind.
type Host struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // IP:port; of the peer listener for entry hosts
	DataCentre string    `json:"data_centre"`
	Role       string    `json:"role"` // RoleEntry or RoleUpstream
	State      HostState `json:"state"`
}

// Hosts is the platform's lagging list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Weights is the weight store's admission: a load may start only with a
// grant, at a limited rate and with a limited number at once.
type Weights interface {
	// Grant asks for leave to start one load now. It answers how long to wait
	// when a limit is reached (0: granted). The load's name must be unique to
	// one load ("model#order"): granting it again while it is open takes no
	// second place, so a lost answer is settled by asking again.
	AcquireLoad(ctx context.Context, load string) (wait time.Duration, err error)
	// Done gives the place of a load back, whether it succeeded or not. It is
	// idempotent. A holder that dies never says so: a grant therefore lapses
	// after GrantMemory, or the places would leak until no load could start.
	ReleaseLoad(ctx context.Context, load string) error
}

// GrantTTL is how long the weight store holds a place for a load at most;
// far above the minutes that the largest model takes at the slowest rate.
const GrantTTL = 10 * time.Minute

// ErrHistoryLost: the changes asked for are no longer kept; read the table whole.
var ErrHistoryLost = errors.New("history of changes is no longer kept")

// UnusableError says that what was read cannot be used. It came from the
// store whole, so reading it again would not help.
type UnusableError struct{ Err error }

// Error implements error.
func (e *UnusableError) Error() string { return "unusable value: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }
