package link

import "time"

// detourTTL is how long a host uses the detours that it was told last, also without a
// coordinator. A host that is partitioned meanwhile refuses and the next one is asked.
const detourTTL = 10 * time.Second

// detours are the addresses that a host was told last.
type detours struct {
	addresses []string
	at        time.Time
}

// apply applies an answer. One that names none says nothing: most leave them out.
func (d *detours) apply(addresses []string, now time.Time) {
	if len(addresses) > 0 {
		d.addresses, d.at = addresses, now
	}
}

// DetourHosts returns the addresses at which other hosts forward requests, in order of
// preference, as the acting coordinator last named them.
func (l *Link) DetourHosts() []string {
	now := l.deps.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.detours.at) > detourTTL {
		return nil
	}
	return l.detours.addresses
}

// Partitioned reports whether this host reaches no upstream.
func (l *Link) Partitioned() bool { return l.cfg.Partitioned != nil && l.cfg.Partitioned() }

// detourAddress returns where this host forwards requests; "": nowhere.
func (l *Link) detourAddress() string {
	if l.cfg.Draining != nil && l.cfg.Draining() {
		return ""
	}
	return l.cfg.DetourAddress
}

// PartitionChanged tells the acting coordinator at once that this host reaches no
// upstream, or does again.
func (l *Link) PartitionChanged(partitioned bool) {
	if partitioned {
		l.permitClient.retract()
	}
	l.pace.urge()
}
