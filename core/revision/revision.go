// Package revision defines the records of a deployment configuration's versions
// that the platform's stores hold: the head, which names the version in force,
// and the audit trail.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"peridotpier.example/core/config"
)

// Row keys of the table and object names of the object store.
const (
	HeadKey     = "config/head"      // the one row that holds the Head
	ArchiveKey  = "config/archived"  // row: the number of audit batches moved to the object store
	docPrefix   = "config/"          // objects: documents, named by their digest
	AuditPrefix = "config/audit/"    // rows: newest version first
	archiveName = "audit/%016x.json" // objects: one batch of the audit trail each
)

// BatchSize is the number of versions in one archived batch of the audit trail,
// which makes one object of some tens of KB.
const BatchSize = 100

// Head names what is in force: one configuration and one preset. Both are in one
// row, so that at no moment two presets or none are in force.
type Head struct {
	Version uint64    `json:"version"` // increases by one with every change of configuration or preset
	Digest  string    `json:"digest"`  // of the document
	Preset  string    `json:"preset"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"` // by the clock of the host that accepted the change; for display only
}

// Action is the kind of a change.
type Action string

// The actions.
const (
	ActionApply  Action = "apply"
	ActionPreset Action = "preset"
	// ActionRewrite is the entry of a version that a restored table had lost.
	ActionRewrite Action = "rewrite"
)

// Entry is one change in the audit trail.
type Entry struct {
	Head
	Action      Action   `json:"action"`
	FromVersion uint64   `json:"from"` // the version that was changed; 0: this is the first
	FromDigest  string   `json:"from_digest,omitempty"`
	FromPreset  string   `json:"from_preset,omitempty"`
	Changes     []string `json:"changes"`
}

// Snapshot is a head with its document, as peers send it. The document may be left
// out: a host that already has the same one in force needs the head only.
type Snapshot struct {
	Head     Head   `json:"head"`
	Document []byte `json:"document,omitempty"` // compressed, as in the object store
}

// Digest returns the SHA-256 of a document in hexadecimal, which identifies it.
func Digest(doc []byte) string {
	sum := sha256.Sum256(doc)
	return hex.EncodeToString(sum[:])
}

// DocumentName returns the name of the object that holds a document, compressed.
// The name depends only on the content, so an object that already exists under it
// is the same document.
func DocumentName(digest string) string { return docPrefix + digest + ".json.gz" }

// AuditKey returns the row key of a version's audit entry. Newer versions sort
// first.
func AuditKey(version uint64) string {
	return fmt.Sprintf("%s%016x", AuditPrefix, math.MaxUint64-version)
}

// BatchOf returns the batch that holds a version's audit entry.
func BatchOf(version uint64) uint64 { return (version - 1) / BatchSize }

// BatchVersions returns the first and the last version of a batch.
func BatchVersions(batch uint64) (first, last uint64) {
	return batch*BatchSize + 1, (batch + 1) * BatchSize
}

// ArchiveName returns the name of the object that holds a batch of the audit
// trail.
func ArchiveName(batch uint64) string { return fmt.Sprintf(archiveName, batch) }

// Decode parses a record of the store.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}

// Changes lists what differs between two configurations, item by item and without
// values: key hashes, for example, must not get into an audit trail. old is nil
// for the first configuration.
func Changes(old, next *config.Config) []string {
	if old == nil {
		return []string{"first configuration"}
	}
	var out []string
	out = appendDiff(out, "team", old.Teams, next.Teams, func(x config.Team) string { return x.Name })
	out = appendDiff(out, "pool", old.Pools, next.Pools, func(x config.Pool) string { return x.Name })
	out = appendDiff(out, "model", old.Models, next.Models, func(x config.Model) string { return x.Name })
	out = appendDiff(out, "adapter", old.Adapters, next.Adapters, func(x config.Adapter) string { return x.Name })
	out = appendDiff(out, "upstream", old.Upstreams, next.Upstreams, func(x config.Upstream) string { return x.Name })
	out = appendDiff(out, "service", old.Services, next.Services, func(x config.Service) string { return x.Name })
	out = appendDiff(out, "class", old.Classes, next.Classes, func(x config.ClassRule) string { return x.Class.String() })
	out = appendDiff(out, "preset", old.Presets, next.Presets, func(x config.Preset) string { return x.Name })
	for _, f := range []struct {
		name     string
		old, now any
	}{{"site", old.Site, next.Site}, {"data_centres", old.DataCentres, next.DataCentres},
		{"weight_store", old.WeightStore, next.WeightStore}, {"limits", old.Limits, next.Limits}} {
		if !equalJSON(f.old, f.now) {
			out = append(out, f.name+" changed")
		}
	}
	return out
}

func appendDiff[T any](out []string, kind string, old, next []T, name func(T) string) []string {
	before := map[string]T{}
	for _, x := range old {
		before[name(x)] = x
	}
	for _, x := range next {
		prev, ok := before[name(x)]
		delete(before, name(x))
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s added", kind, name(x)))
		case !equalJSON(prev, x):
			out = append(out, fmt.Sprintf("%s %s changed", kind, name(x)))
		}
	}
	for _, x := range old {
		if _, removed := before[name(x)]; removed {
			out = append(out, fmt.Sprintf("%s %s removed", kind, name(x)))
		}
	}
	return out
}

func equalJSON(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(x) == string(y)
}
