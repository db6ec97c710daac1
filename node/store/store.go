// Package store defines the interfaces to the platform's services: a
// transactional table service, an object store, a list of hosts and a weight
// store. All state that hosts must agree on or that must persist goes through
// them. The platform's real protocols may differ from site to site, so each
// interface is small and the rest of the system uses nothing else.
package store

import (
	"context"
	"errors"
	"time"
)

// The errors of a call to a platform service. Callers wrap them in a fault.Error
// that names their step.
var (
	// ErrUnavailable means that the service refused the call or was not reached;
	// nothing took effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnconfirmed means that the answer was lost: the call may or may not have
	// taken effect. Callers must find out, for commits by CommitResolved, and
	// never assume a failure.
	ErrUnconfirmed = errors.New("platform answer lost, effect unknown")
	// ErrConflict means that a condition did not hold; nothing took effect.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("not found")
	// ErrLimited means that the call was over the rate that the platform allows;
	// nothing took effect.
	ErrLimited = errors.New("platform rate limit")
)

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // of the commit that wrote the row, by the service's era and number; never 0, never reused
}

// Absent is the version that a condition gives for a row that must not exist.
const Absent uint64 = 0

// Cond is the condition that a row still has a version.
type Cond struct {
	Key     string
	Version uint64 // Absent: there must be no such row
}

// Write creates, replaces or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: it takes effect completely or not at all.
type Txn struct {
	// Op is the operation's id, unique to one intended effect. Committing a
	// Txn again under the same Op has no second effect and returns the result of
	// the first commit. The service keeps ids for at least OpRetention.
	Op     string
	Conds  []Cond
	Writes []Write
}

// OpRetention is the minimum time for which the table service remembers
// operation ids.
const OpRetention = 10 * time.Minute

// Table is the transactional table service. Against the platform's limits every
// commit counts as one write, and every Get or List as one read.
type Table interface {
	// Commit applies t and returns the version that its rows got. Its errors
	// are ErrConflict, ErrUnavailable, ErrLimited and ErrUnconfirmed.
	Commit(ctx context.Context, t Txn) (version uint64, err error)
	// Get reads rows in one consistent read; rows that don't exist are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List reads up to limit rows whose keys start with prefix and sort after
	// the key named after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store, which keeps immutable blobs by name. Putting a
// name again with the same content succeeds, so an unconfirmed Put can simply be
// repeated; with other content it returns ErrConflict. A read returns ErrNotFound
// or ErrUnavailable when it fails.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
)

// The roles of hosts.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Host is one entry of the platform's list of hosts, which lags behind reality.
type Host struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // IP:port; of the peer listener for entry hosts
	DataCentre string    `json:"data_centre"`
	Role       string    `json:"role"` // RoleEntry or RoleUpstream
	State      HostState `json:"state"`
}

// Hosts gives the platform's list of live and draining hosts, which lags behind
// reality.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Weights is the admission control of the weight store: a load may start only
// with a grant. Grants are limited in rate and in number at a time.
type Weights interface {
	// AcquireLoad requests a grant to start one load now. It returns 0 when the
	// grant is given, and how long to wait when a limit is reached. The load's
	// name must be unique to one load ("model#order"): acquiring it again while
	// it is open takes no second grant, so a lost answer is resolved by another
	// call.
	AcquireLoad(ctx context.Context, load string) (wait time.Duration, err error)
	// ReleaseLoad returns the grant of a load, whether the load succeeded or not.
	// It is idempotent. A process that dies can't release its grants: they
	// therefore expire after GrantTTL, or they would leak until no load could
	// start.
	ReleaseLoad(ctx context.Context, load string) error
}

// GrantTTL is the maximum time for which the weight store keeps a grant. It is
// far above the minutes that the largest model takes at the slowest rate.
const GrantTTL = 10 * time.Minute

// ErrHistoryLost means that the requested changes are no longer kept: the caller
// must read the complete table.
var ErrHistoryLost = errors.New("history of changes is no longer kept")

// UnusableError says that a value cannot be used although it was read from the
// store without an error, so that reading it again would not help.
type UnusableError struct{ Err error }

// Error implements error.
func (e *UnusableError) Error() string { return "unusable value: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }
