// Package rest is a client of the platform's services (table, objects, hosts and
// weights) over HTTP with JSON bodies. The real platform's protocol may differ;
// this package is then the only one to replace.
package rest

import (
	"errors"
	"net/http"
	"time"

	"peridotpier.example/node/store"
)

// The paths of the services, relative to the base URL.
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

// HeaderEra is the header of each answer of the table service with its era, which rises
// when the service is restored from a copy; see store.Version.
const HeaderEra = "Table-Era"

// CommitAnswer is the response to a store.Txn.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// GetRequest lists the keys of one consistent read.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest asks for one page of rows.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Rows is the response to a read of rows.
type Rows struct {
	Rows []store.Row `json:"rows"`
}

// Names is the response to a list request for objects.
type Names struct {
	Names []string `json:"names"`
}

// HostList is the response to a request for the list of hosts.
type HostList struct {
	Hosts []store.Host `json:"hosts"`
}

// LoadRequest is the request to acquire or release the grant of one load.
type LoadRequest struct {
	Load string `json:"load"`
}

// Grant is the response to a request for the grant of a load.
type Grant struct {
	WaitMs int64 `json:"wait_ms"` // rounded up; 0: granted
}

// NewGrant returns the response for a wait. It rounds up, since a wait rounded
// down to 0 would be a grant.
func NewGrant(wait time.Duration) Grant {
	return Grant{WaitMs: (wait + time.Millisecond - 1).Milliseconds()}
}

// Problem is the body of every refusal. Clients use its code and not the HTTP
// status: a load balancer on the path also responds 503, and it may have
// forwarded the call before that.
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

// ProblemOf returns the HTTP status and body for an error. ok is false for errors
// that have no code in the protocol.
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
