package wire

import (
	"math"
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
)

// DecodeFingerprint decodes a request's fingerprint. It fails if the digest is not of the
// right length.
func DecodeFingerprint(m *coordpb.RequestMark) (poison.Fingerprint, error) {
	d, err := poison.DigestFromBytes(m.GetDigest())
	return poison.Fingerprint{Digest: d, Shape: poison.Shape(m.GetShape()), Place: uint8(min(m.GetPlace(), math.MaxUint8))}, err
}

// EncodeFingerprint encodes a request's fingerprint.
func EncodeFingerprint(fp poison.Fingerprint) *coordpb.RequestMark {
	return &coordpb.RequestMark{Digest: fp.Digest[:], Shape: uint64(fp.Shape), Place: uint32(fp.Place)}
}

// DecodeEntry decodes an entry, whose remaining time is counted from now.
func DecodeEntry(x *coordpb.QuarantineEntry, now time.Time) (poison.Entry, error) {
	fp, err := DecodeFingerprint(x.Mark)
	return poison.Entry{Fingerprint: fp, State: poison.State(min(x.State, uint32(poison.Barred))), CrashCount: int(x.Crashes),
		BarCount: int(x.Bars), BarredUntil: now.Add(Milliseconds(x.ForMs))}, err
}

// EncodeEntry encodes an entry, whose remaining time is counted from now.
func EncodeEntry(e *poison.Entry, now time.Time) *coordpb.QuarantineEntry {
	return &coordpb.QuarantineEntry{Mark: EncodeFingerprint(e.Fingerprint), State: uint32(e.State), Crashes: uint32(e.CrashCount), Bars: uint32(e.BarCount),
		ForMs: uint32(max(e.BarredUntil.Sub(now), 0).Milliseconds())}
}
