// Package site describes a site to be imitated: its deployment configuration,
// how fast and how late its upstreams are, how far apart things lie, and the
// demand of its callers. It starts the upstreams on loopback and measures
// what is true of them, so that a bench of real nodes can be run and judged.
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
	"peridotpier.example/standin/load"
)

// Clients is the place of callers in a Distance.
const Clients = "clients"

// Site is one site file.
type Site struct {
	Deployment config.Config `json:"deployment"`
	EntryHosts int           `json:"entry_hosts"`
	KeyPrefix  string        `json:"key_prefix"` // a team's API key is this and its name
	Distances  []Distance    `json:"distances"`
	Engines    Engines       `json:"engines"`
	Services   []Service     `json:"services"`
	Store      Store         `json:"store"`
	Demand     Demand        `json:"demand"`
}

// Distance is the round trip between two data centres, or a data centre and
// the clients, in milliseconds; it holds both ways.
type Distance struct {
	From string  `json:"from"`
	To   string  `json:"to"`
	Ms   float64 `json:"ms"`
}

// Engines states how the site's model engines behave. Their names, memory,
// batch, fencing and the models' speeds stand in the deployment.
type Engines struct {
	MBPerSecond      int     `json:"mb_per_second"`      // one load's speed
	UnloadMs         int     `json:"unload_ms"`          // until memory is free
	BatchSlope       float64 `json:"batch_slope"`        // share of the step time that each further stream adds
	PrefillUsToken   int     `json:"prefill_us_token"`   // microseconds for one prompt token
	PrefixSlots      int     `json:"prefix_slots"`       // cached prefixes
	PrefixSavedShare float64 `json:"prefix_saved"`       // share of prefill that a cached prefix saves
	MaxQueue         int     `json:"queue_max"`          // waiting requests
	ReportIntervalMs int     `json:"report_every_ms"`    // of reports
	ReportLagMs      int     `json:"report_lag_ms"`      // how late reports are
	EventLagMs       int     `json:"event_lag_ms"`       // of cache events
	EventLoss        float64 `json:"event_loss"`         // share of cache events that never come
	ResumeWindowMs   int     `json:"resume_for_ms"`      // how long a stream without a reader goes on
	OrderMaxDelayMs  int     `json:"orders_late_max_ms"` // how late an order may come that is given up as lost
}

// Service states how the instances of one plain service behave.
type Service struct {
	Name             string         `json:"name"` // as in the deployment
	Ms               int            `json:"ms"`   // time of a call that no route names
	ReportIntervalMs int            `json:"report_every_ms"`
	ReportLagMs      int            `json:"report_lag_ms"`
	Routes           []ServiceRoute `json:"routes"`
}

// ServiceRoute states how long calls to a part of a service take.
type ServiceRoute struct {
	Method string `json:"method"` // "*" for any
	Prefix string `json:"prefix"`
	Ms     int    `json:"ms"`
}

// Store states the limits of table service and object store.
type Store struct {
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	DelayMs         int     `json:"delay_ms"`
	HostListLagMs   int     `json:"host_list_lag_ms"`
}

//go:embed sites/*.json
var sites embed.FS

// Load reads a built-in site by its name, or a site file.
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

// Parse reads a site file; an unknown field is an error that names it.
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

// validate finds what would make a run mean something else than the file says.
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
	if _, err := s.Sources(time.Duration(s.Demand.LengthSeconds * float64(time.Second))); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// TeamKey is a team's API key.
func (s *Site) TeamKey(team string) string { return s.KeyPrefix + team }

// RoundTrip is the distance between two places; within one it is 0.
func (s *Site) RoundTrip(from, to string) time.Duration {
	for _, d := range s.Distances {
		if (d.From == from && d.To == to) || (d.From == to && d.To == from) {
			return time.Duration(d.Ms * float64(time.Millisecond))
		}
	}
	return 0
}

// EntryDataCentre is the data centre of the i-th entry host.
func (s *Site) EntryDataCentre(i int) string {
	return s.Deployment.DataCentres[i%len(s.Deployment.DataCentres)]
}

// Accelerators counts those of all engines.
func (s *Site) Accelerators() int {
	n := 0
	for _, u := range s.Deployment.Upstreams {
		n += u.Accelerators
	}
	return n
}

// Plan draws the arrivals of a run of the given length.
func (s *Site) Plan(seed uint64, length time.Duration) ([]load.Arrival, error) {
	sources, err := s.Sources(length)
	if err != nil {
		return nil, err
	}
	return load.Plan(seed, length, sources), nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// callableModels lists the models and adapters that a team may call, base models first.
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
