// Package host runs one entry host of a routed deployment: its listeners, the
// data path, what keeps it up to date, and a stop that cuts nothing off.
package host

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"peridotpier.example/core/config"
)

// Settings are read from a JSON file at the start and on SIGHUP. Keys that are
// not known are passed over: a platform may add some.
type Settings struct {
	Host       string   `json:"host"`
	DataCentre string   `json:"data_centre"`
	Callers    string   `json:"callers"`   // IP:port where callers are served
	Readiness  string   `json:"readiness"` // IP:port where the balancer asks
	Peers      string   `json:"peers"`     // IP:port for other entry hosts
	Metrics    string   `json:"metrics"`   // IP:port of counters and histograms
	Store      string   `json:"store"`     // IP:port of the platform's store
	Seeds      []string `json:"seeds"`     // peers' addresses of a few hosts, perhaps stale
	LogLevel   string   `json:"log_level"`
	// NoModelMoves keeps models where they are, to measure what moves gain.
	NoModelMoves bool   `json:"no_model_moves"`
	Limits       Limits `json:"limits"`
	Bounds       Bounds `json:"bounds"`
	FirstStart   bool   `json:"first_start"` // the whole deployment starts for the first time: nobody calls yet
}

// Limits are what the machine gives to the process.
type Limits struct {
	MemoryMB int     `json:"memory_mb"`
	Cores    float64 `json:"cores"` // share of the processor, in cores
	// CoreSpeed is how many times as fast the processor is as the deployment's
	// usual one; 0: as fast.
	CoreSpeed float64 `json:"core_speed"`
	LinkMbps  float64 `json:"link_mbps"`
}

// usualCores is the share of the processor in usual cores; 0: not bounded.
func (l *Limits) usualCores() float64 {
	if l.CoreSpeed == 0 {
		return l.Cores
	}
	return l.Cores * l.CoreSpeed
}

// Bounds are the times and shares that the platform's users hold the system to.
type Bounds struct {
	GraceS         float64 `json:"grace_s"`          // from the stop signal to the end by force
	DrainMs        float64 `json:"drain_ms"`         // until a leaving upstream gets no more
	LapseMs        float64 `json:"lapse_ms"`         // until an entry that ran out is back
	RepeatRatio    float64 `json:"repeat_ratio"`     // sends beyond the first, for each request
	RepeatSlack    float64 `json:"repeat_slack"`     // and beyond that, over all hosts
	RepeatWindowS  float64 `json:"repeat_window_s"`  // in any span of this length
	LeaseMs        float64 `json:"lease_ms"`         // between the orders of two holders
	CeilingWindowS float64 `json:"ceiling_window_s"` // loads from the weight store are counted in any span of this length
	CeilingOver    float64 `json:"ceiling_over"`     // factor on the weight store's rate
	LimitSlack     float64 `json:"limit_slack"`      // by which a team's limit may be missed over all hosts, in what it counts; 0: not at all
}

// Parse reads settings and says everything that is wrong with them.
func Parse(data []byte) (*Settings, []config.Fault) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, []config.Fault{{Path: "$", Problem: err.Error()}}
	}
	s.fill()
	return &s, s.check()
}

// Defaults of what a settings file may leave out.
const (
	defaultGraceS         = 10.0
	defaultDrainMs        = 2000.0
	defaultLapseMs        = 2000.0
	defaultRepeatRatio    = 0.1
	defaultRepeatSlack    = 20.0
	defaultRepeatWindowS  = 10.0
	defaultLeaseMs        = 3000.0
	defaultCeilingWindowS = 5.0
	defaultCeilingOver    = 1.0
	defaultMemoryMB       = 256
)

func (s *Settings) fill() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Limits.MemoryMB == 0 {
		s.Limits.MemoryMB = defaultMemoryMB
	}
	b := &s.Bounds
	for _, v := range []struct {
		at        *float64
		otherwise float64
	}{{&b.GraceS, defaultGraceS}, {&b.DrainMs, defaultDrainMs}, {&b.LapseMs, defaultLapseMs}, {&b.RepeatRatio, defaultRepeatRatio},
		{&b.RepeatSlack, defaultRepeatSlack}, {&b.RepeatWindowS, defaultRepeatWindowS}, {&b.LeaseMs, defaultLeaseMs},
		{&b.CeilingWindowS, defaultCeilingWindowS}, {&b.CeilingOver, defaultCeilingOver}} {
		if *v.at == 0 {
			*v.at = v.otherwise
		}
	}
}

func (s *Settings) check() []config.Fault {
	var faults []config.Fault
	fault := func(path, problem string) { faults = append(faults, config.Fault{Path: path, Problem: problem}) }
	for _, v := range []struct{ path, value string }{{"$.host", s.Host}, {"$.data_centre", s.DataCentre}} {
		if v.value == "" {
			fault(v.path, "is missing")
		}
	}
	addresses := []struct {
		path, value string
		needed      bool
	}{{"$.callers", s.Callers, true}, {"$.readiness", s.Readiness, true}, {"$.store", s.Store, true},
		{"$.peers", s.Peers, true}, {"$.metrics", s.Metrics, false}}
	for i, seed := range s.Seeds {
		addresses = append(addresses, struct {
			path, value string
			needed      bool
		}{fmt.Sprintf("$.seeds[%d]", i), seed, true})
	}
	for _, a := range addresses {
		if a.value == "" && !a.needed {
			continue
		}
		if problem := addressProblem(a.value); problem != "" {
			fault(a.path, problem)
		}
	}
	own := map[string]string{}
	for _, a := range addresses[:ownAddressCount] {
		if other, taken := own[a.value]; taken && a.value != "" {
			fault(a.path, "is also that of "+other)
		}
		own[a.value] = a.path
	}
	if s.Bounds.RepeatWindowS < 0 || s.Bounds.GraceS < 0 || s.Bounds.LeaseMs < 0 {
		fault("$.bounds", "has a time below 0")
	}
	if s.Limits.MemoryMB < 0 || s.Limits.Cores < 0 || s.Limits.CoreSpeed < 0 || s.Limits.LinkMbps < 0 {
		fault("$.limits", "has a figure below 0")
	}
	if s.Bounds.LimitSlack < 0 {
		fault("$.bounds.limit_slack", "is below 0")
	}
	return faults
}

// ownAddressCount is how many of the addresses in check are the host's own or the
// store's: all but the seeds.
const ownAddressCount = 5

func addressProblem(a string) string {
	host, _, err := net.SplitHostPort(a)
	switch {
	case a == "":
		return "is missing"
	case err != nil:
		return "is no IP:port"
	case net.ParseIP(host) == nil:
		return "names a host; an IP number is needed"
	}
	return ""
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// changedKeys names the keys that differ and take effect at the next start only.
func (s *Settings) changedKeys(next *Settings) []string {
	var out []string
	for _, v := range []struct {
		name    string
		differs bool
	}{{"host", s.Host != next.Host}, {"data_centre", s.DataCentre != next.DataCentre}, {"callers", s.Callers != next.Callers},
		{"readiness", s.Readiness != next.Readiness}, {"peers", s.Peers != next.Peers}, {"metrics", s.Metrics != next.Metrics},
		{"store", s.Store != next.Store}, {"limits", s.Limits != next.Limits}, {"bounds", s.Bounds != next.Bounds}} {
		if v.differs {
			out = append(out, v.name)
		}
	}
	return out
}
