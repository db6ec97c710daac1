// Package site describes a site to simulate: its deployment configuration, the speed
// and the report lag of its upstreams, the network distances, and the demand of its
// callers. It starts the simulated upstreams on loopback and observes their actual
// state, so that a benchmark of real nodes can be run and evaluated.
package site

import (
	"bytes"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/standin/load"
)

// Clients is the name of the callers' location in a Distance.
const Clients = "clients"

// Site is the content of one site file.
type Site struct {
	Deployment config.Config `json:"deployment"`
	EntryHosts int           `json:"entry_hosts"`
	KeyPrefix  string        `json:"key_prefix"` // a team's API key is this prefix followed by the team's name
	Distances  []Distance    `json:"distances"`
	Engines    Engines       `json:"engines"`
	Services   []Service     `json:"services"`
	Store      Store         `json:"store"`
	Demand     Demand        `json:"demand"`
}

// Distance is the round-trip time between two data centres, or between a data centre
// and the clients, in milliseconds. It applies in both directions.
type Distance struct {
	From string  `json:"from"`
	To   string  `json:"to"`
	Ms   float64 `json:"ms"`
}

// Engines describes the behaviour of the site's model engines. Their names, memory,
// batch size and fencing, and the speeds of the models, are given in the deployment.
type Engines struct {
	MBPerSecond      int     `json:"mb_per_second"`      // speed of one load
	UnloadMs         int     `json:"unload_ms"`          // time until the memory of an unloaded model is free
	BatchSlope       float64 `json:"batch_slope"`        // increase of the step time per further stream, as a share of that of one stream
	PrefillUsToken   int     `json:"prefill_us_token"`   // microseconds per prompt token
	PrefixSlots      int     `json:"prefix_slots"`       // number of cached prefixes
	PrefixSavedShare float64 `json:"prefix_saved"`       // share of the prefill time that a cached prefix saves
	MaxQueue         int     `json:"queue_max"`          // bound on waiting requests; 0: the engine's default
	ReportIntervalMs int     `json:"report_every_ms"`    // between reports
	ReportLagMs      int     `json:"report_lag_ms"`      // delay of reports
	EventLagMs       int     `json:"event_lag_ms"`       // delay of cache events
	EventLoss        float64 `json:"event_loss"`         // share of cache events that get lost
	ResumeWindowMs   int     `json:"resume_for_ms"`      // how long a stream without a reader continues
	OrderMaxDelayMs  int     `json:"orders_late_max_ms"` // largest delay at which an order given up as lost may still arrive
}

// latestOrder returns the largest delay at which an order given up as lost may still arrive.
func (e *Engines) latestOrder() time.Duration { return ms(e.OrderMaxDelayMs) }

// Service describes the behaviour of the instances of one plain service.
type Service struct {
	Name             string         `json:"name"` // name of the service in the deployment
	Ms               int            `json:"ms"`   // duration of a call that matches no route
	ReportIntervalMs int            `json:"report_every_ms"`
	ReportLagMs      int            `json:"report_lag_ms"`
	Routes           []ServiceRoute `json:"routes"`
}

// ServiceRoute is the duration of the calls whose method and path prefix match.
type ServiceRoute struct {
	Method string `json:"method"` // "*" matches any method
	Prefix string `json:"prefix"`
	Ms     int    `json:"ms"`
}

// Store describes the limits and delays of the simulated platform services.
type Store struct {
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	DelayMs         int     `json:"delay_ms"`
	HostListLagMs   int     `json:"host_list_lag_ms"`
}

//go:embed sites/*.json
var sites embed.FS

// Load reads a built-in site by its name, or else the site file of that path.
func Load(name string) (*Site, error) {
	data, err := sites.ReadFile("sites/" + name + ".json")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "site %q is neither built in nor a readable file", name)
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "site %s", name)
}

// Parse decodes and validates a site file. An unknown field is an error that names it.
func Parse(data []byte) (*Site, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var s Site
	if err := dec.Decode(&s); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("text after the end of the document")
	}
	return &s, s.validate()
}

// validate returns the errors because of which a run would not be what the file
// describes, such as names that the deployment doesn't have.
func (s *Site) validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, eris.Errorf(format, args...)) }
	if s.EntryHosts < 1 {
		addError("entry_hosts is %d, at least 1 is needed", s.EntryHosts)
	}
	for i, d := range s.Distances {
		for _, location := range []string{d.From, d.To} {
			if location != Clients && !slices.Contains(s.Deployment.DataCentres, location) {
				addError("distances[%d]: %q is no data centre", i, location)
			}
		}
	}
	for _, t := range s.Deployment.Teams {
		sum := sha256.Sum256([]byte(s.TeamKey(t.Name)))
		if !slices.Contains(t.KeyHashes, hex.EncodeToString(sum[:])) {
			addError("deployment: team %q does not accept the key %q", t.Name, s.TeamKey(t.Name))
		}
	}
	for i, svc := range s.Services {
		if !slices.ContainsFunc(s.Deployment.Services, func(d config.Service) bool { return d.Name == svc.Name }) {
			addError("services[%d]: %q is no service of the deployment", i, svc.Name)
		}
	}
	if most := ledger.DefaultBounds().MaxInFlight; s.Engines.latestOrder() > most {
		addError("engines: orders_late_max_ms is %d, planners assume %d at most", s.Engines.OrderMaxDelayMs, most.Milliseconds())
	}
	if _, err := s.Sources(time.Duration(s.Demand.LengthSeconds * float64(time.Second))); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// TeamKey returns the API key of a team.
func (s *Site) TeamKey(team string) string { return s.KeyPrefix + team }

// RoundTrip returns the round-trip time between two locations; it is 0 within one
// location and where the site states no distance.
func (s *Site) RoundTrip(from, to string) time.Duration {
	for _, d := range s.Distances {
		if (d.From == from && d.To == to) || (d.From == to && d.To == from) {
			return time.Duration(d.Ms * float64(time.Millisecond))
		}
	}
	return 0
}

// EntryDataCentre returns the data centre of the entry host with index i.
func (s *Site) EntryDataCentre(i int) string {
	return s.Deployment.DataCentres[i%len(s.Deployment.DataCentres)]
}

// Accelerators returns the number of accelerators of all upstreams.
func (s *Site) Accelerators() int {
	n := 0
	for _, u := range s.Deployment.Upstreams {
		n += u.Accelerators
	}
	return n
}

// Plan draws the arrivals of a run of the given length; the seed makes them
// reproducible.
func (s *Site) Plan(seed uint64, length time.Duration) ([]load.Arrival, error) {
	sources, err := s.Sources(length)
	if err != nil {
		return nil, err
	}
	return load.Plan(seed, length, sources), nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// callableModels returns the models and adapters that a team may call, models first.
func (s *Site) callableModels(t *config.Team) []string {
	var names []string
	for _, m := range s.Deployment.Models {
		names = append(names, m.Name)
	}
	for _, a := range s.Deployment.Adapters {
		names = append(names, a.Name)
	}
	all := slices.Contains(t.Models, config.Wildcard)
	return slices.DeleteFunc(names, func(n string) bool { return !all && !slices.Contains(t.Models, n) })
}

func (s *Site) team(name string) *config.Team {
	i := slices.IndexFunc(s.Deployment.Teams, func(t config.Team) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Deployment.Teams[i]
}

func withLeadingSlash(p string) string { return "/" + strings.TrimPrefix(p, "/") }
