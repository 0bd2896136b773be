package timeline

import (
	"bufio"
	"errors"
	"io"
)

// MaxLineBytes bounds one line of an event file or a log.
const MaxLineBytes = 64 << 10

// EachLine calls take with each line of r, without its line end; the bytes are
// valid until take returns. Longer lines than MaxLineBytes are skipped and
// counted: one bad line must not hide those after it.
func EachLine(r io.Reader, take func(line []byte)) (skipped int, err error) {
	lines := bufio.NewReaderSize(r, MaxLineBytes)
	for tooLong := false; ; {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			continue
		}
		switch {
		case tooLong:
			skipped++
		case len(line) > 0:
			take(trimLineEnd(line))
		}
		tooLong = false
		if errors.Is(err, io.EOF) {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	if n := len(line); n > 0 && line[n-1] == '\n' {
		line = line[:n-1]
	}
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line
}
