// Package rest speaks the platform's services over HTTP with JSON bodies:
// table, objects, hosts and weights. The true platform's protocol may differ;
// this package is then the only one to replace.
package rest

import (
	"errors"
	"net/http"
	"time"

	"peridotpier.example/node/store"
)

// Paths of the services, below the service's base address.
const (
	PathCommit  = "/table/commit"
	PathGet     = "/table/get"
	PathList    = "/table/list"
	PathObject  = "/objects/" // + name; PUT and GET
	PathObjects = "/objects"  // GET ?prefix=&after=&limit=
	PathHosts   = "/hosts"
	PathGrant   = "/weights/grant"
	PathDone    = "/weights/done"
)

// CommitAnswer is the answer to a store.Txn.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// GetRequest names the rows of one consistent read.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest asks for one page of rows.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Rows answers a read.
type Rows struct {
	Rows []store.Row `json:"rows"`
}

// Names answers a list of objects.
type Names struct {
	Names []string `json:"names"`
}

// HostList answers the list of hosts.
type HostList struct {
	Hosts []store.Host `json:"hosts"`
}

// LoadRequest names one load.
type LoadRequest struct {
	Load string `json:"load"`
}

// Grant answers a request for a load.
type Grant struct {
	WaitMs int64 `json:"wait_ms"` // rounded up; 0: granted
}

// NewGrant rounds wait up, since a wait rounded down to 0 would be a grant.
func NewGrant(wait time.Duration) Grant {
	return Grant{WaitMs: (wait + time.Millisecond - 1).Milliseconds()}
}

// Problem is the body of every refusal. The code decides, not the status: a
// balancer in between answers 503 too, after it may have passed the call on.
type Problem struct {
	Code string `json:"code"`
}

type problemKind struct {
	code   string
	status int
	err    error
}

var problems = [...]problemKind{
	{"conflict", http.StatusConflict, store.ErrConflict},
	{"limited", http.StatusTooManyRequests, store.ErrLimited},
	{"unavailable", http.StatusServiceUnavailable, store.ErrUnavailable},
	{"not_found", http.StatusNotFound, store.ErrNotFound},
}

// ProblemOf returns status and body for an error that the service may tell.
func ProblemOf(err error) (int, Problem, bool) {
	for _, p := range problems {
		if errors.Is(err, p.err) {
			return p.status, Problem{Code: p.code}, true
		}
	}
	return 0, Problem{}, false
}

func (p Problem) err() (error, bool) {
	for _, k := range problems {
		if k.code == p.Code {
			return k.err, true
		}
	}
	return nil, false
}
