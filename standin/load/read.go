package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// read reads a successful answer: all of it, or the part of a stream that this
// connection delivers. A stream may end with an error event, which is returned.
func (c *caller) read(resp *http.Response) (*problem, error) {
	switch c.inv.Arrival.Source.Kind {
	case KindStream:
		if t := resp.Header.Get(headerResume); t != "" {
			c.resumeToken = t
		}
		return c.readStream(resp.Body)
	case KindNonStreaming:
		return nil, c.readNonStreaming(resp.Body)
	default:
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return nil, err
		}
		c.recordFirstToken()
		c.text, c.ended = body, true
		return nil, nil
	}
}

type chunk struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	errorBody
}

func (c *caller) readNonStreaming(r io.Reader) error {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return err
	}
	c.recordFirstToken()
	var ch chunk
	if json.Unmarshal(body, &ch) == nil && len(ch.Choices) > 0 {
		c.text = []byte(ch.Choices[0].Message.Content)
	}
	c.ended = true // the body ended without an error; setVerdict checks whether it is complete
	return nil
}

func (c *caller) readStream(r io.Reader) (*problem, error) {
	in := bufio.NewReaderSize(r, 8<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil, err // an end of the body without the end marker is a broken stream too
		}
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			c.lastEventID = string(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue // a keepalive, or the empty line between events
		}
		if string(data) == engineapi.StreamEnd {
			c.ended = true
			_, err := io.Copy(io.Discard, in)
			return nil, err
		}
		if p := c.addEvent(data); p != nil {
			return p, nil
		}
	}
}

// addEvent adds the data of one event to the answer. It returns the error that an
// event may carry.
func (c *caller) addEvent(data []byte) *problem {
	var ch chunk
	if json.Unmarshal(data, &ch) != nil {
		return nil // not a chunk; if it should have been one, the text won't verify
	}
	if ch.Error != nil {
		return ch.Error
	}
	if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
		return nil
	}
	c.text = append(c.text, ch.Choices[0].Delta.Content...)
	if now := time.Now(); c.inv.TimeToFirstToken == 0 {
		c.recordFirstToken()
	} else {
		c.inv.gaps = append(c.inv.gaps, now.Sub(c.lastTokenAt))
		c.lastTokenAt = now
	}
	return nil
}

func (c *caller) recordFirstToken() {
	c.lastTokenAt = time.Now()
	if c.inv.TimeToFirstToken == 0 {
		c.inv.TimeToFirstToken = c.lastTokenAt.Sub(c.inv.Intended)
	}
}
