package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"go.uber.org/zap/zapcore"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/config"
)

// check returns a fault for each invalid value.
func (s *Settings) check() []config.Fault {
	var out []config.Fault
	add := func(ok bool, path, format string, args ...any) {
		if !ok {
			out = append(out, fault(path, format, args...))
		}
	}
	add(s.Host != "" && !strings.ContainsAny(s.Host, " /"), "host", "%q must be a name without spaces or slashes", s.Host)
	add(s.DataCentre != "", "data_centre", "is missing")
	out = append(out, checkListener("caller", s.Caller, false)...)
	out = append(out, checkListener("operator", s.Operator.Listener(), true)...)
	out = append(out, checkListener("peer", s.Peer, true)...)
	for _, p := range []struct{ path, value string }{{"platform.table", s.Platform.Table}, {"platform.objects", s.Platform.Objects},
		{"platform.hosts", s.Platform.Hosts}, {"platform.weights", s.Platform.Weights}} {
		add(isBaseURL(p.value), p.path, "%q must be http://IP:port", p.value)
	}
	out = append(out, s.checkKeys()...)
	out = append(out, s.checkBounds()...)
	_, err := zapcore.ParseLevel(s.LogLevel)
	add(err == nil, "log_level", "%q is none of debug, info, warn, error", s.LogLevel)
	return out
}

// checkListener checks a listener. If mutual is set and the listener uses TLS, it must
// name the authorities of client certificates.
func checkListener(path string, l Listener, mutual bool) []config.Fault {
	var out []config.Fault
	if _, err := netip.ParseAddrPort(l.Address); err != nil {
		out = append(out, fault(path+".address", "%q must be IP:port, with an IP number", l.Address))
	}
	if l.TLS == nil {
		return out
	}
	if l.TLS.Certificate == "" || l.TLS.Key == "" {
		out = append(out, fault(path+".tls", "needs both certificate and key"))
	}
	if mutual && l.TLS.Authorities == "" {
		out = append(out, fault(path+".tls.authorities", "is missing: both sides must show a certificate here"))
	}
	return out
}

// isBaseURL reports whether text is a URL http://IP:port. Host names are not accepted,
// since hosts cannot rely on a name service.
func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func (s *Settings) checkKeys() []config.Fault {
	var out []config.Fault
	if len(s.Keys.Resume) == 0 {
		out = append(out, fault("keys.resume", "is empty: one key is needed to sign resume tokens"))
	}
	for i, k := range s.Keys.Resume {
		if k.ID == "" || k.File == "" {
			out = append(out, fault(fmt.Sprintf("keys.resume[%d]", i), "needs both id and file"))
		}
	}
	if s.Keys.PrefixSalt == "" {
		out = append(out, fault("keys.prefix_salt_file", "is missing"))
	}
	if len(s.Operator.Operators) == 0 {
		out = append(out, fault("operator.operators", "is empty: nobody could operate this host"))
	}
	for i, o := range s.Operator.Operators {
		path := fmt.Sprintf("operator.operators[%d]", i)
		if o.Name == "" {
			out = append(out, fault(path+".name", "is missing"))
		}
		if _, err := apikey.Parse(o.KeyHash); err != nil {
			out = append(out, fault(path+".key_hash", "must be a SHA-256 in hex, 64 digits"))
		}
	}
	return out
}

func (s *Settings) checkBounds() []config.Fault {
	var out []config.Fault
	b := s.Bounds
	for _, x := range []struct {
		path             string
		value, low, high int
	}{
		{"drain_s", b.DrainSeconds, 1, 3600}, {"balancer_wait_s", b.BalancerWaitSeconds, 1, 300},
		{"silence_ms", b.SilenceMs, 100, 60_000}, {"report_every_ms", b.ReportEveryMs, 50, 60_000},
		{"header_bytes", b.HeaderBytes, 4 << 10, 1 << 20}, {"configuration_poll_s", b.ConfigPollSeconds, 1, 10},
		{"memory_mb", b.MemoryMB, 64, 1 << 20},
	} {
		if x.value < x.low || x.value > x.high {
			out = append(out, fault("bounds."+x.path, "%d is not from %d to %d", x.value, x.low, x.high))
		}
	}
	if b.RetryShare < 0 || b.RetryShare > 1 {
		out = append(out, fault("bounds.retry_share", "%g is not from 0 to 1", b.RetryShare))
	}
	return out
}
