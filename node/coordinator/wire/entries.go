package wire

import (
	"math"
	"slices"
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
)

// DecodeFingerprint decodes a request's fingerprint. It fails if the digest is not of the
// right length.
func DecodeFingerprint(m *coordpb.RequestMark) (poison.Fingerprint, error) {
	if place := m.GetPlace(); place > 0 {
		return poison.FingerprintOfPart(poison.Shape(m.GetShape()), uint8(min(place, math.MaxUint8))), nil
	}
	d, err := poison.DigestFromBytes(m.GetDigest())
	return poison.Fingerprint{Digest: d, Shape: poison.Shape(m.GetShape()), Answered: m.GetAnswered()}, err
}

// EncodeFingerprint encodes a request's fingerprint.
func EncodeFingerprint(fp poison.Fingerprint) *coordpb.RequestMark {
	if fp.IsPart() {
		return &coordpb.RequestMark{Shape: uint64(fp.Shape), Place: uint32(fp.Place)}
	}
	return &coordpb.RequestMark{Digest: fp.Digest[:], Shape: uint64(fp.Shape), Answered: fp.Answered}
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

// EncodeParts encodes the parts among suspects.
func EncodeParts(suspects []poison.Fingerprint) []*coordpb.PartMarks {
	var out []*coordpb.PartMarks
	for _, f := range suspects {
		if !f.IsPart() {
			continue
		}
		place := uint32(f.Place)
		i := slices.IndexFunc(out, func(m *coordpb.PartMarks) bool { return m.Place == place })
		if i < 0 {
			i, out = len(out), append(out, &coordpb.PartMarks{Place: place})
		}
		out[i].Shapes = append(out[i].Shapes, uint64(f.Shape))
	}
	return out
}

// DecodeParts decodes the result of EncodeParts.
func DecodeParts(marks []*coordpb.PartMarks) []poison.Fingerprint {
	var out []poison.Fingerprint
	for _, m := range marks {
		if m.Place == 0 {
			continue // no part
		}
		for _, s := range m.Shapes {
			out = append(out, poison.FingerprintOfPart(poison.Shape(s), uint8(min(m.Place, math.MaxUint8))))
		}
	}
	return out
}
