package stream

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Chunk is the JSON data of one event of a generation's stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice holds the text that a chunk adds and, in the last chunk, the reason
// why the generation finished. A valid chunk has exactly one choice.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta holds the text added since the previous chunk.
type Delta struct {
	Content string `json:"content"`
}

// Fragments of a chunk as engines encode it. Quotes inside JSON strings are
// escaped, so model output cannot contain nullFinishReason.
var (
	idFieldStart     = []byte(`{"id":"`)
	nullFinishReason = []byte(`"finish_reason":null`)
)

// Decoder converts the events of one generation into inputs of a Sequencer.
type Decoder struct {
	expectedStart []byte // first bytes of a chunk with the expected id
	id            string
}

// NewDecoder returns a decoder for the events of generation id.
func NewDecoder(id string) *Decoder {
	prefix := append(append([]byte{}, idFieldStart...), id...)
	return &Decoder{expectedStart: append(prefix, '"', ','), id: id}
}

// Classify classifies an event received on connection conn. Chunks in the usual
// encoding are recognized without decoding the JSON, because decoding would be
// most of the CPU cost of a token.
func (d *Decoder) Classify(conn int, ev Event) Input {
	if ev.IsComment {
		return Input{Conn: conn, Kind: Activity}
	}
	if string(ev.Data) == DoneData {
		return Input{Conn: conn, Kind: Done}
	}
	offset, err := strconv.Atoi(string(ev.ID))
	if err != nil || offset < 0 || len(ev.Name) > 0 {
		return Input{Conn: conn, Kind: Malformed}
	}
	if bytes.HasPrefix(ev.Data, d.expectedStart) && ev.Data[len(ev.Data)-1] == '}' && bytes.Contains(ev.Data, nullFinishReason) {
		return Input{Conn: conn, Kind: Token, ID: d.id, Offset: offset}
	}
	var c Chunk
	if json.Unmarshal(ev.Data, &c) != nil || len(c.Choices) != 1 || bytes.ContainsAny(ev.Data, "\r\n") {
		return Input{Conn: conn, Kind: Malformed}
	}
	kind := Token
	if c.Choices[0].FinishReason != nil {
		kind = Finish
	}
	return Input{Conn: conn, Kind: kind, ID: c.ID, Offset: offset}
}
