package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"strconv"
	"strings"
	"unicode/utf8"
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

// Reasons for which a generation finishes. Another one, such as that of a cancelled
// generation, does not show that the text is complete.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Decoder converts the events of one generation into inputs of a Sequencer.
type Decoder struct {
	usualStart []byte
	id         string
}

// NewDecoder returns a decoder for the events of generation id.
func NewDecoder(id string) *Decoder { return &Decoder{usualStart: usualStart(id), id: id} }

// Classify classifies an event received on connection conn. Its data is a valid chunk in one
// line unless the result is Malformed, so that it may be passed on unchanged. Chunks in the
// usual encoding are recognized without decoding the JSON, because decoding would be
// most of the CPU cost of a token.
func (d *Decoder) Classify(conn int, ev Event) Input {
	if ev.IsComment {
		return Input{Conn: conn, Kind: Activity}
	}
	malformed := Input{Conn: conn, Kind: Malformed}
	if len(ev.Name) > 0 || !utf8.Valid(ev.Data) {
		return malformed
	}
	if string(ev.Data) == DoneData {
		return Input{Conn: conn, Kind: Done}
	}
	offset, err := strconv.Atoi(string(ev.ID))
	if err != nil || offset < 0 {
		return malformed
	}
	if content, ok := cutUsualChunk(ev.Data, d.usualStart); ok {
		return Input{Conn: conn, Kind: Token, ID: d.id, Offset: offset, TextHash: hashContent(content)}
	}
	var c Chunk
	if json.Unmarshal(ev.Data, &c) != nil || bytes.ContainsAny(ev.Data, "\r\n") || !hasUniqueNames(ev.Data) {
		return malformed
	}
	kind, ok := c.kind()
	if !ok {
		return malformed
	}
	return Input{Conn: conn, Kind: kind, ID: c.ID, Offset: offset, TextHash: hashText([]byte(c.Choices[0].Delta.Content))}
}

// kind returns whether the chunk is a token or the final chunk, and false if it is neither.
func (c *Chunk) kind() (Kind, bool) {
	if len(c.Choices) != 1 || c.Choices[0].Index != 0 {
		return Malformed, false
	}
	choice := c.Choices[0]
	if choice.FinishReason == nil {
		return Token, true
	}
	reason := *choice.FinishReason
	return Finish, (reason == finishStop || reason == finishLength) && choice.Delta.Content == ""
}

var textHashSeed = maphash.MakeSeed()

// hashText returns the hash of a token's text, by which a Sequencer compares repeated tokens.
func hashText(text []byte) uint64 { return maphash.Bytes(textHashSeed, text) }

// hashContent returns the hash of the text of a valid JSON string without its quotes.
func hashContent(content []byte) uint64 {
	if bytes.IndexByte(content, '\\') < 0 {
		return hashText(content)
	}
	quoted := append(append([]byte{'"'}, content...), '"')
	var text string
	if json.Unmarshal(quoted, &text) != nil {
		return hashText(content) // not reached: the string is valid
	}
	return hashText([]byte(text))
}

// hasUniqueNames reports whether no object in valid JSON has two members of one name.
// Decoders differ in which of two they use, and some ignore case.
func hasUniqueNames(data []byte) bool {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return nextValueHasUniqueNames(d)
}

func nextValueHasUniqueNames(d *json.Decoder) bool {
	token, err := d.Token()
	if err != nil {
		return false
	}
	if _, ok := token.(json.Delim); !ok {
		return true
	}
	seen := map[string]bool{}
	for d.More() {
		if token == json.Delim('{') {
			name, err := d.Token()
			folded := strings.ToLower(strings.ToUpper(fmt.Sprint(name)))
			if err != nil || seen[folded] {
				return false
			}
			seen[folded] = true
		}
		if !nextValueHasUniqueNames(d) {
			return false
		}
	}
	_, err = d.Token()
	return err == nil
}
