package deploy

import (
	"slices"
	"time"
)

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// The states of an upstream.
const (
	Ready UpstreamState = iota
	Draining
)

// Resident is a model that an upstream holds.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// Equal says whether two describe the same model with the same adapters.
func (r Resident) Equal(o Resident) bool {
	return r.Model == o.Model && r.Version == o.Version && slices.Equal(r.Adapters, o.Adapters)
}

// Upstream is one process of a service as it describes itself.
type Upstream struct {
	ID string
	// Born is when the process began, in Unix milliseconds by its own clock; 0:
	// not said. A process may start again under its ID, empty: what was known
	// of the one before holds for it no more.
	Born       int64
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int
	State      UpstreamState
	Remaining  time.Duration // until a leaving upstream is gone; 0: not said
	Cold       time.Duration // for how much longer it is slow after its start
	Residents  []Resident
	InMemory   []string // models with a copy in its host memory
	OnDisk     []string // models with a copy on its disk
}

// HasResident says whether the upstream holds a model and, if one is named, the adapter.
func (u *Upstream) HasResident(model, adapter string) bool {
	for i := range u.Residents {
		r := &u.Residents[i]
		if r.Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range r.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}
