package fleet

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// maxDocumentBytes bounds a decompressed manifest document.
const maxDocumentBytes = 8 << 20

// compressDocument compresses a manifest document with gzip, because every
// instance downloads each version. Documents shrink to about a tenth, because they
// repeat the same names in each route.
func compressDocument(document []byte) ([]byte, error) {
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

// decompressDocument reverses compressDocument. It fails if the document is
// larger than maxDocumentBytes.
func decompressDocument(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "manifest document: %v", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		err = io.ErrShortBuffer
	}
	if err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "manifest document: %v", err)
	}
	return document, nil
}
