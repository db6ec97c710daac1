// Package readall reads bodies whose senders may stop at any byte: what has been read is
// neither copied again and again nor held twice until the body is complete, and no memory is
// taken for bytes that were only announced.
package readall

import (
	"errors"
	"io"
)

const (
	// minBlock is the size of the first block, in bytes, of a body of unknown or large length;
	// each further one is twice as large, up to maxBlock.
	minBlock, maxBlock = 4 << 10, 256 << 10
)

// Read reads until the end of r, or until more than limit bytes were read. length is how
// many are announced; below 0: that is not known.
func Read(r io.Reader, length, limit int64) ([]byte, error) {
	block := make([]byte, 0, firstBlock(length))
	var full [][]byte
	total := int64(0)
	for {
		if len(block) == cap(block) {
			full = append(full, block)
			block = make([]byte, 0, min(max(2*cap(block), minBlock), maxBlock))
		}
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		total += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			return join(full, block, total), nil
		case err != nil, total > limit:
			return join(full, block, total), err
		}
	}
}

// firstBlock returns the size of the first block: that of a small body of known length with
// a byte for its end to be found without another block.
func firstBlock(length int64) int {
	if length >= 0 && length < maxBlock/4 {
		return int(length) + 1
	}
	return minBlock
}

// join returns the bytes of all blocks.
func join(full [][]byte, last []byte, total int64) []byte {
	if len(full) == 0 {
		return last
	}
	all := make([]byte, 0, total)
	for _, b := range full {
		all = append(all, b...)
	}
	return append(all, last...)
}
