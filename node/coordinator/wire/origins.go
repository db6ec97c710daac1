package wire

import (
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/origin"
)

// EncodeOrigins encodes records of streams.
func EncodeOrigins(all []origin.Record) *coordpb.OriginBatch {
	out := &coordpb.OriginBatch{}
	bySoftware := map[string]*coordpb.SoftwareStreams{}
	for _, rec := range all {
		s := bySoftware[rec.Software]
		if s == nil {
			s = &coordpb.SoftwareStreams{Software: rec.Software}
			bySoftware[rec.Software] = s
			out.Streams = append(out.Streams, s)
		}
		s.Attempts = append(s.Attempts, uint64(rec.Attempt))
		s.Contents = append(s.Contents, uint64(rec.Content))
		s.TtlS = append(s.TtlS, uint32(rec.TTL/time.Second)+1)
	}
	return out
}

// DecodeOrigins decodes records of streams. Streams whose lists differ in length are left
// out.
func DecodeOrigins(b *coordpb.OriginBatch) []origin.Record {
	var out []origin.Record
	for _, s := range b.Streams {
		if len(s.Contents) != len(s.Attempts) || len(s.TtlS) != len(s.Attempts) {
			continue
		}
		for i := range s.Attempts {
			ttl := time.Duration(s.TtlS[i]) * time.Second
			out = append(out, origin.Record{Attempt: origin.Key(s.Attempts[i]), Content: origin.Key(s.Contents[i]), Software: s.Software, TTL: min(ttl, origin.MaxTTL)})
		}
	}
	return out
}
