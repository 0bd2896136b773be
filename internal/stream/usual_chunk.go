package stream

import "bytes"

// Parts of a chunk in the usual encoding, with the generation id before them and the values
// of model and content, which are strings, between them.
var (
	usualIDStart = []byte(`{"id":"`)
	usualIDEnd   = []byte(`","object":"chat.completion.chunk","model":`)
	usualContent = []byte(`,"choices":[{"index":0,"delta":{"content":`)
	usualEnd     = []byte(`},"finish_reason":null}]}`)
)

// usualStart returns the first bytes of each chunk of generation id in the usual encoding.
func usualStart(id string) []byte {
	return append(append(bytes.Clone(usualIDStart), id...), usualIDEnd...)
}

// cutUsualChunk returns the content of a chunk in the usual encoding, as a JSON string
// without its quotes. It checks each byte, so that no other JSON and no text beside the JSON
// passes for one.
func cutUsualChunk(data, start []byte) (content []byte, ok bool) {
	rest, ok := bytes.CutPrefix(data, start)
	if !ok {
		return nil, false
	}
	if _, rest, ok = cutString(rest); !ok {
		return nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, usualContent); !ok {
		return nil, false
	}
	content, rest, ok = cutString(rest)
	return content, ok && bytes.Equal(rest, usualEnd)
}

// cutString cuts a JSON string from the start of data.
func cutString(data []byte) (content, rest []byte, ok bool) {
	if len(data) == 0 || data[0] != '"' {
		return nil, nil, false
	}
	for i := 1; i < len(data); i++ {
		switch c := data[i]; {
		case c == '"':
			return data[1:i], data[i+1:], true
		case c < ' ':
			return nil, nil, false
		case c == '\\':
			n := escapeLength(data[i:])
			if n == 0 {
				return nil, nil, false
			}
			i += n - 1
		}
	}
	return nil, nil, false
}

const unicodeEscapeLength = len(`\u0000`)

// escapeLength returns the length of the escape sequence at the start of data, or 0 if it is
// invalid.
func escapeLength(data []byte) int {
	switch {
	case len(data) < 2:
		return 0
	case bytes.IndexByte([]byte(`"\/bfnrt`), data[1]) >= 0:
		return 2
	case data[1] != 'u' || len(data) < unicodeEscapeLength:
		return 0
	}
	for _, c := range data[2:unicodeEscapeLength] {
		if bytes.IndexByte([]byte("0123456789abcdefABCDEF"), c) < 0 {
			return 0
		}
	}
	return unicodeEscapeLength
}
