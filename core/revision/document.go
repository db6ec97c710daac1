package revision

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"peridotpier.example/core/config"
)

// Compress compresses a document for the store and for peers: every host reads
// each new document, and at the design size the uncompressed text alone would use
// up a host's budget of bytes for control traffic.
func Compress(doc []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(doc); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecompressVerified decompresses a document and checks that it has the given
// digest.
func DecompressVerified(packed []byte, digest string) ([]byte, error) {
	doc, err := Decompress(packed)
	if err != nil {
		return nil, err
	}
	if got := Digest(doc); got != digest {
		return nil, fmt.Errorf("document has digest %s, the head names %s", got, digest)
	}
	return doc, nil
}

// Decompress reverses Compress. It reads at most one byte more than the largest
// document, whatever size the compressed data claims.
func Decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	doc, err := io.ReadAll(io.LimitReader(r, config.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return doc, nil
}
