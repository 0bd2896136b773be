package fleet

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// maxDocument bounds a manifest document.
const maxDocument = 8 << 20

// pack compresses a document. Documents repeat the same names in each route
// and shrink to about a tenth, and every instance receives each version.
func pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack returns the document.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "manifest document: %v", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err == nil && len(document) > maxDocument {
		err = io.ErrShortBuffer
	}
	if err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "manifest document: %v", err)
	}
	return document, nil
}
