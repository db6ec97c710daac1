package crowd

import (
	"fmt"
	"io"
	"strings"
	"time"

	"storj.io/drpc/drpcwire"
)

// Kind is what the members of a crowd send.
type Kind struct {
	Name string
	// Send sends it to a server; an error means that the server closed the connection, or
	// reads nothing.
	Send func(w io.Writer, to Target) error
}

const (
	// endless is how much of something without an end is sent, as a multiple of the limit.
	endless = 16
	// pieceBytes and piecePause are the size of a piece, and the pause after it, of what is
	// sent piece by piece.
	pieceBytes, piecePause = 8 << 10, time.Millisecond
	// chunkBytes is the size of a large chunk.
	chunkBytes = 64 << 10
	// smallChunks is how many chunks of one byte are sent in all, at most.
	smallChunks = 64 << 10
)

// HeadKinds returns the kinds of heads over the limit and without end.
func HeadKinds() []Kind {
	return []Kind{
		{"a head over the limit", func(w io.Writer, to Target) error {
			return write(w, to.Head+"X-Long: "+strings.Repeat("x", 2*to.HeadLimit)+"\r\n\r\n")
		}},
		{"a head without an end", func(w io.Writer, to Target) error {
			line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
			return repeat(w, to.Head, line, endless*to.HeadLimit/len(line))
		}},
		{"a line without an end", func(w io.Writer, to Target) error {
			return repeat(w, "GET /", strings.Repeat("x", 1000), endless*to.HeadLimit/1000)
		}},
		{"a head just below the limit", func(w io.Writer, to Target) error {
			return write(w, to.Head+"X-Long: "+strings.Repeat("x", to.HeadLimit-len(to.Head)-100)+"\r\n")
		}},
		{"empty lines before a request", func(w io.Writer, to Target) error {
			return repeat(w, "", strings.Repeat("\r\n", 500), endless*to.HeadLimit/1000)
		}},
		{"nothing", func(io.Writer, Target) error { return nil }},
	}
}

// FieldKinds returns the kinds of heads and chunks that take more memory, or more time, than
// their bytes.
func FieldKinds() []Kind {
	return []Kind{
		{"many short fields", func(w io.Writer, to Target) error {
			var head strings.Builder
			for i := 0; head.Len() < to.HeadLimit-len(to.Head)-100; i++ {
				fmt.Fprintf(&head, "%x:\r\n", i)
			}
			return write(w, to.Head+head.String())
		}},
		{"a chunk with a long extension", func(w io.Writer, to Target) error {
			return repeat(w, to.Head+chunked+"1;", strings.Repeat("x", 1000), to.HeadLimit/1000)
		}},
		{"trailers without an end", func(w io.Writer, to Target) error {
			return repeat(w, to.Head+chunked+"0\r\n", "X-More: "+strings.Repeat("x", 1000)+"\r\n", endless*to.HeadLimit/1000)
		}},
		{"one byte of an announced body", func(w io.Writer, to Target) error {
			return write(w, to.Head+length(to.BodyLimit)+"x")
		}},
	}
}

// BodyKinds returns the kinds of bodies of legal size, most of which stop short of their end.
func BodyKinds() []Kind {
	return []Kind{
		{"bodies but for the last byte", func(w io.Writer, to Target) error {
			return write(w, to.Head+length(to.BodyLimit)+strings.Repeat("x", to.BodyLimit-1))
		}},
		{"whole bodies", func(w io.Writer, to Target) error {
			return write(w, to.Head+length(to.BodyLimit)+strings.Repeat("x", to.BodyLimit))
		}},
		{"bodies piece by piece", func(w io.Writer, to Target) error {
			if err := write(w, to.Head+length(to.BodyLimit)); err != nil {
				return err
			}
			return pieces(w, to.BodyLimit-1)
		}},
		{"large chunks without the last one", func(w io.Writer, to Target) error {
			if err := write(w, to.Head+chunked); err != nil {
				return err
			}
			size := min(chunkBytes, to.BodyLimit/4)
			return repeat(w, "", chunk(size), to.BodyLimit/size-1)
		}},
		{"chunks of one byte without the last one", func(w io.Writer, to Target) error {
			if err := write(w, to.Head+chunked); err != nil {
				return err
			}
			const together = 256
			return repeat(w, "", strings.Repeat(chunk(1), together), min(smallChunks, to.BodyLimit-1)/together)
		}},
	}
}

// MessageKinds returns the kinds of messages of a peer that stop short of their end.
func MessageKinds() []Kind {
	return []Kind{
		{"a message but for its end", func(w io.Writer, to Target) error {
			return write(w, string(frame(1, to.BodyLimit-1)))
		}},
		{"a frame but for its end", func(w io.Writer, to Target) error {
			f := frame(1, to.BodyLimit)
			return write(w, string(f[:len(f)-1]))
		}},
		{"a message piece by piece", func(w io.Writer, to Target) error {
			for range to.BodyLimit/pieceBytes - 1 {
				if err := write(w, string(frame(1, pieceBytes))); err != nil {
					return err
				}
				time.Sleep(piecePause)
			}
			return nil
		}},
	}
}

// frame returns a frame of a message that goes on.
func frame(stream uint64, bytes int) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, bytes), ID: drpcwire.ID{Stream: stream, Message: 1}, Kind: drpcwire.KindInvoke})
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

func length(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes) }

func chunk(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }

func write(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// repeat writes first, and then a text a number of times.
func repeat(w io.Writer, first, text string, times int) error {
	if err := write(w, first); err != nil {
		return err
	}
	for range times {
		if err := write(w, text); err != nil {
			return err
		}
	}
	return nil
}

// pieces writes a number of bytes piece by piece.
func pieces(w io.Writer, bytes int) error {
	for left := bytes; left > 0; left -= pieceBytes {
		if err := write(w, strings.Repeat("x", min(pieceBytes, left))); err != nil {
			return err
		}
		time.Sleep(piecePause)
	}
	return nil
}
