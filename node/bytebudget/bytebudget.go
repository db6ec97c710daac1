// Package bytebudget bounds the memory that many holders take together.
package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// Budget is an amount of memory that holders share. It is safe for concurrent use. A nil
// Budget has no bound.
type Budget struct {
	max  int64
	used atomic.Int64
}

// New returns a Budget of max bytes; 0: without a bound.
func New(max int64) *Budget {
	if max == 0 {
		return nil
	}
	return &Budget{max: max}
}

// Reserve takes n bytes. It returns false, and takes none, if fewer are left.
func (b *Budget) Reserve(n int) bool {
	if b == nil || b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.Release(n)
	return false
}

// Release gives back n bytes that were reserved.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

const (
	// firstBytes is the size of the first block of a body, in bytes, and blockBytes that of the
	// largest ones.
	firstBytes, blockBytes = 2 << 10, 32 << 10
	// freeBytes is the size up to which a body takes nothing of a budget: about what its
	// connection takes anyway.
	freeBytes = 16 << 10
)

// Body is the beginning of a body, or all of it, in memory of a budget.
type Body struct {
	Whole               bool // the body ended with it
	blocks              [][]byte
	first               int // size of the first block
	allocated, reserved int // bytes
	budget              *Budget
}

// Read reads from r until its end, max bytes have come, or no memory is left for more. length is
// how many are announced; below 0: that is not known. Whoever gets the Body releases it, after an
// error too.
func (b *Budget) Read(r io.Reader, length int64, max int) (body *Body, err error) {
	body = &Body{budget: b, first: firstBytes}
	if length >= 0 && length < blockBytes {
		body.first = int(length) + 1 // for the end to be found without another block
	}
	for {
		last := len(body.blocks) - 1
		if last < 0 || len(body.blocks[last]) == cap(body.blocks[last]) {
			if !body.grow(max) {
				return body, nil
			}
			last++
		}
		block := body.blocks[last]
		n, err := r.Read(block[len(block):cap(block)])
		body.blocks[last] = block[:len(block)+n]
		if errors.Is(err, io.EOF) {
			body.Whole = true
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow adds a block, as large as all before together if max and the budget allow it. It returns
// false if they do not.
func (b *Body) grow(max int) bool {
	size := min(b.allocated, blockBytes)
	if b.allocated == 0 {
		size = b.first
	}
	size = min(size, max-b.allocated)
	if size <= 0 {
		return false
	}
	if b.allocated+size > freeBytes {
		if !b.budget.Reserve(size) {
			return false
		}
		b.reserved += size
	}
	b.allocated += size
	b.blocks = append(b.blocks, make([]byte, 0, size))
	return true
}

// Len returns how many bytes are held.
func (b *Body) Len() (n int) {
	for _, block := range b.blocks {
		n += len(block)
	}
	return n
}

// Bytes returns a copy of what is held.
func (b *Body) Bytes() []byte { return bytes.Join(b.blocks, nil) }

// WriteTo implements io.WriterTo. What is written is given back at once: a reader may take long
// for the rest.
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for len(b.blocks) > 0 {
		n, err := w.Write(b.blocks[0])
		written += int64(n)
		if err != nil {
			return written, err
		}
		b.releaseFirst()
	}
	return written, nil
}

// releaseFirst gives the first block back. Blocks that took nothing of the budget come first: for
// them as much of the others' memory is given back.
func (b *Body) releaseFirst() {
	size := min(cap(b.blocks[0]), b.reserved)
	b.blocks[0], b.blocks = nil, b.blocks[1:]
	b.reserved -= size
	b.budget.Release(size)
}

// Release gives back what is still held.
func (b *Body) Release() {
	b.budget.Release(b.reserved)
	b.blocks, b.reserved = nil, 0
}
