// Package host runs one entry host of a routed deployment: its listeners, the data
// path, the parts that follow the store and the coordinator, and a graceful stop.
package host

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"peridotpier.example/core/config"
)

// Settings are the settings of a host, read from a JSON file at the start and on
// SIGHUP. Unknown keys are ignored: a platform may add some.
type Settings struct {
	Host       string   `json:"host"`
	DataCentre string   `json:"data_centre"`
	Callers    string   `json:"callers"`   // IP:port where callers are served
	Readiness  string   `json:"readiness"` // IP:port of the balancer's health checks
	Peers      string   `json:"peers"`     // IP:port for other entry hosts
	Detours    string   `json:"detours"`   // IP:port where other hosts forward requests that reach no upstream from there; "" for none
	Metrics    string   `json:"metrics"`   // IP:port of metrics and status pages; "" for none
	Store      string   `json:"store"`     // IP:port of the platform's store
	Seeds      []string `json:"seeds"`     // peer addresses of a few hosts, possibly stale
	LogLevel   string   `json:"log_level"`
	// NoModelMoves keeps models where they are, to measure the benefit of moves.
	NoModelMoves bool   `json:"no_model_moves"`
	Limits       Limits `json:"limits"`
	Bounds       Bounds `json:"bounds"`
	FirstStart   bool   `json:"first_start"` // the whole deployment starts for the first time and has no callers yet
}

// Limits are the resources that the process may use. 0 means unlimited, except for
// MemoryMB, which then takes its default.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	// Descriptors are the open ones; 0 means as many as the system allows the process.
	Descriptors int     `json:"descriptors"`
	Cores       float64 `json:"cores"` // share of the processor, in cores
	// CoreSpeed is the speed of a core relative to the deployment's usual processor;
	// 0 means the same speed.
	CoreSpeed float64 `json:"core_speed"`
	LinkMbps  float64 `json:"link_mbps"`
}

// usualCores returns Cores in cores of the usual processor; 0 means unlimited.
func (l *Limits) usualCores() float64 {
	if l.CoreSpeed == 0 {
		return l.Cores
	}
	return l.Cores * l.CoreSpeed
}

// Bounds are the times and shares that the system must keep to, as required by the
// platform's users.
type Bounds struct {
	GraceS         float64 `json:"grace_s"`          // from the stop signal until the process is killed
	DrainMs        float64 `json:"drain_ms"`         // after which a draining upstream gets no more requests
	LapseMs        float64 `json:"lapse_ms"`         // until the expired entry of a live upstream is registered again
	HeartbeatMs    float64 `json:"heartbeat_ms"`     // between two heartbeats of an upstream to the platform
	RepeatRatio    float64 `json:"repeat_ratio"`     // retries for each request
	RepeatSlack    float64 `json:"repeat_slack"`     // retries beyond RepeatRatio, over all hosts
	RepeatWindowS  float64 `json:"repeat_window_s"`  // length of any time span to which the bounds on retries apply
	LeaseMs        float64 `json:"lease_ms"`         // minimum time between the orders of two lease holders
	CeilingWindowS float64 `json:"ceiling_window_s"` // length of any time span in which loads from the weight store are counted
	CeilingOver    float64 `json:"ceiling_over"`     // factor on the weight store's rate
	LimitSlack     float64 `json:"limit_slack"`      // by how much a team may exceed its limit over all hosts, in the limit's unit; 0 means not at all
}

// Parse parses settings, fills in the defaults and returns all faults found.
func Parse(data []byte) (*Settings, []config.Fault) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, []config.Fault{{Path: "$", Problem: err.Error()}}
	}
	s.fill()
	return &s, s.check()
}

// Defaults of the settings that a file may leave out.
const (
	defaultGraceS         = 10.0
	defaultDrainMs        = 2000.0
	defaultLapseMs        = 2000.0
	defaultHeartbeatMs    = 1200.0
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
	}{{&b.GraceS, defaultGraceS}, {&b.DrainMs, defaultDrainMs}, {&b.LapseMs, defaultLapseMs}, {&b.HeartbeatMs, defaultHeartbeatMs}, {&b.RepeatRatio, defaultRepeatRatio},
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
		{"$.peers", s.Peers, true}, {"$.metrics", s.Metrics, false}, {"$.detours", s.Detours, false}}
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
	if s.Limits.MemoryMB < 0 || s.Limits.Descriptors < 0 || s.Limits.Cores < 0 || s.Limits.CoreSpeed < 0 || s.Limits.LinkMbps < 0 {
		fault("$.limits", "has a figure below 0")
	}
	if s.Bounds.LimitSlack < 0 {
		fault("$.bounds.limit_slack", "is below 0")
	}
	return faults
}

// ownAddressCount is the number of addresses in check that are the host's own or the
// store's: all but the seeds.
const ownAddressCount = 6

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

// changedKeys returns the keys that differ in next and take effect only at the next start.
func (s *Settings) changedKeys(next *Settings) []string {
	var out []string
	for _, v := range []struct {
		name    string
		differs bool
	}{{"host", s.Host != next.Host}, {"data_centre", s.DataCentre != next.DataCentre}, {"callers", s.Callers != next.Callers},
		{"readiness", s.Readiness != next.Readiness}, {"peers", s.Peers != next.Peers}, {"detours", s.Detours != next.Detours}, {"metrics", s.Metrics != next.Metrics},
		{"store", s.Store != next.Store}, {"limits", s.Limits != next.Limits}, {"bounds", s.Bounds != next.Bounds}} {
		if v.differs {
			out = append(out, v.name)
		}
	}
	return out
}
