// Package settings reads the settings file of one process: its name, its data centre,
// its addresses, those of the platform, its keys and its bounds. docs/settings.md
// describes the file.
package settings

import (
	"fmt"
	"time"

	"peridotpier.example/core/config"
)

// Settings are the contents of one host's settings file.
type Settings struct {
	Host       string   `json:"host"`
	DataCentre string   `json:"data_centre"`
	Caller     Listener `json:"caller"`
	Operator   Operator `json:"operator"`
	Peer       Listener `json:"peer"`
	Platform   Platform `json:"platform"`
	Keys       Keys     `json:"keys"`
	Bounds     Bounds   `json:"bounds"`
	LogLevel   string   `json:"log_level"` // "debug", "info", "warn" or "error"; "" is "info"
}

// Listener is one address that the host listens on.
type Listener struct {
	Address string `json:"address"` // IP:port
	TLS     *TLS   `json:"tls"`     // nil for plain TCP
}

// TLS names the certificate files of a listener or dialler. The files are read again
// when they change.
type TLS struct {
	Certificate string `json:"certificate"` // PEM file: own certificate, then intermediates
	Key         string `json:"key"`         // PEM file
	Authorities string `json:"authorities"` // PEM file: authorities that may sign the peer's certificate; "" only for callers
}

// Operator is the listener for operators and the keys of those who may use it.
type Operator struct {
	Address   string        `json:"address"` // IP:port
	TLS       *TLS          `json:"tls"`
	Operators []OperatorKey `json:"operators"`
}

// Listener returns the listener for operators.
func (o Operator) Listener() Listener { return Listener{o.Address, o.TLS} }

// OperatorKey is one operator's key, stored as a hash.
type OperatorKey struct {
	Name    string `json:"name"`     // recorded in the audit trail
	KeyHash string `json:"key_hash"` // SHA-256, hex
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table     string `json:"table"` // http://IP:port
	Objects   string `json:"objects"`
	Hosts     string `json:"hosts"`
	Weights   string `json:"weights"`
	TimeoutMs int    `json:"timeout_ms"` // of one call; 0 means 2000
}

// Keys are secrets shared by the hosts of a site.
type Keys struct {
	// Resume are the keys of resume tokens: the first one signs, all are accepted.
	Resume []KeyFile `json:"resume"`
	// PrefixSalt is the file of the salt that makes prefix hashes meaningless to engines.
	PrefixSalt string `json:"prefix_salt_file"`
}

// KeyFile is one key with its id. The file holds at least 32 bytes.
type KeyFile struct {
	ID   string `json:"id"`
	File string `json:"file"`
}

// Bounds are limits and intervals of the host; zero values take the defaults.
type Bounds struct {
	DrainSeconds        int     `json:"drain_s"`              // maximum duration of a graceful shutdown after the balancer's wait
	BalancerWaitSeconds int     `json:"balancer_wait_s"`      // how long the balancer goes on sending connections after "not ready"
	SilenceMs           int     `json:"silence_ms"`           // time without a byte after which an exchange is probed
	ReportEveryMs       int     `json:"report_every_ms"`      // interval between two polls for an upstream's report
	HeaderBytes         int     `json:"header_bytes"`         // maximum size of the head of a caller's request
	RetryShare          float64 `json:"retry_share"`          // retries as a share of requests
	ConfigPollSeconds   int     `json:"configuration_poll_s"` // mean interval between two polls of the configuration
	MemoryMB            int     `json:"memory_mb"`            // memory of the machine that the host may use
}

// The defaults of Bounds.
const (
	defaultDrain        = 60       // s; duration of the longest ordinary stream
	defaultBalancerWait = 3        // s; duration of two health checks of the balancer
	defaultSilence      = 2000     // ms
	defaultReportEvery  = 1000     // ms; reports lag by seconds anyway
	defaultHeaderBytes  = 16 << 10 // keys, tokens and the usual headers take less than 4 KB
	defaultRetryShare   = 0.1
	defaultConfigPoll   = 5    // s; a third of the 16 s that a change may take
	defaultTimeout      = 2000 // ms
	defaultMemory       = 256  // MB; a small entry host
)

// Drain returns the maximum duration of a graceful shutdown.
func (b Bounds) Drain() time.Duration { return time.Duration(b.DrainSeconds) * time.Second }

// BalancerWait returns how long the host goes on serving after it answers "not ready".
func (b Bounds) BalancerWait() time.Duration {
	return time.Duration(b.BalancerWaitSeconds) * time.Second
}

// IdleBeforeProbe returns the time without a byte after which an exchange is probed.
func (b Bounds) IdleBeforeProbe() time.Duration { return time.Duration(b.SilenceMs) * time.Millisecond }

// ReportEvery returns the interval between two polls for an upstream's report.
func (b Bounds) ReportEvery() time.Duration { return time.Duration(b.ReportEveryMs) * time.Millisecond }

// ConfigPoll returns the mean interval between two polls of the configuration.
func (b Bounds) ConfigPoll() time.Duration { return time.Duration(b.ConfigPollSeconds) * time.Second }

// Parse parses a settings file, fills in the defaults and checks the values. It
// returns either the settings or all faults, each with its path.
func Parse(data []byte) (*Settings, []config.Fault) {
	s := &Settings{}
	faults := config.ParseStrict(data, s)
	if len(faults) > 0 {
		return nil, faults
	}
	s.SetDefaults()
	if faults = s.check(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// SetDefaults sets the values that were left out to their defaults.
func (s *Settings) SetDefaults() {
	b := &s.Bounds
	for _, d := range []struct {
		field *int
		value int
	}{
		{&b.DrainSeconds, defaultDrain}, {&b.BalancerWaitSeconds, defaultBalancerWait}, {&b.SilenceMs, defaultSilence},
		{&b.ReportEveryMs, defaultReportEvery}, {&b.HeaderBytes, defaultHeaderBytes},
		{&b.ConfigPollSeconds, defaultConfigPoll}, {&b.MemoryMB, defaultMemory}, {&s.Platform.TimeoutMs, defaultTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if b.RetryShare == 0 {
		b.RetryShare = defaultRetryShare
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func fault(path, format string, args ...any) config.Fault {
	return config.Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}
