package stream

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Chunk is the body of one event of a generation.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the single choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Content string `json:"content"`
}

// Fragments of a chunk in the form that engines write. Quotes inside JSON
// strings are escaped, so model output cannot contain openFinish.
var (
	idStart    = []byte(`{"id":"`)
	openFinish = []byte(`"finish_reason":null`)
)

// Decoder classifies the events of one generation.
type Decoder struct {
	prefix []byte // start of a chunk of the expected generation
	id     string
}

// NewDecoder returns a decoder for the generation id.
func NewDecoder(id string) *Decoder {
	prefix := append(append([]byte{}, idStart...), id...)
	return &Decoder{prefix: append(prefix, '"', ','), id: id}
}

// Input classifies an event received on a connection. A chunk in the usual
// form is recognised without decoding the JSON, which is most of the cost of
// a token.
func (d *Decoder) Input(conn int, ev Event) Input {
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
	if bytes.HasPrefix(ev.Data, d.prefix) && ev.Data[len(ev.Data)-1] == '}' && bytes.Contains(ev.Data, openFinish) {
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
