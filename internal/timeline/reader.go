package timeline

import (
	"bufio"
	"errors"
	"io"
)

// MaxLineBytes is the maximum length of a line in an event file or a log.
const MaxLineBytes = 64 << 10

// EachLine calls handle for each line of r, without its line ending. The slice is
// valid only until handle returns. Lines longer than MaxLineBytes are skipped and
// counted, so that one bad line does not hide those after it.
func EachLine(r io.Reader, handle func(line []byte)) (skipped int, err error) {
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
			handle(trimLineEnd(line))
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
