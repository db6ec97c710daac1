package deploy

import (
	"slices"
	"time"
)

// UpstreamState is the state of an upstream as the upstream itself reports it.
type UpstreamState uint8

// The states of an upstream.
const (
	Ready UpstreamState = iota
	Draining
)

// Resident is a model that is resident at an upstream, with its adapters.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// Equal reports whether both describe the same model with the same adapters.
func (r Resident) Equal(o Resident) bool {
	return r.Model == o.Model && r.Version == o.Version && slices.Equal(r.Adapters, o.Adapters)
}

// Upstream is one process of a service, as it describes itself.
type Upstream struct {
	ID string
	// Born is when the process started, in Unix milliseconds by its own clock; 0:
	// not reported. A process may restart under its ID, empty: what was known of
	// the former process no longer applies.
	Born       int64
	Service    string
	Address    string // IP:port
	DataCentre string
	// Software is the version of the upstream's software, not of its weights; "": not stated.
	// What two versions write of one stream does not fit together.
	Software  string
	Slots     int
	State     UpstreamState
	Remaining time.Duration // until a draining upstream ends; 0: not reported
	Cold      time.Duration // how much longer it is slow after its start
	Residents []Resident
	InMemory  []string // models with a copy in its host memory
	OnDisk    []string // models with a copy on its disk
}

// HasResident reports whether a model and, if one is named, its adapter are
// resident.
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
