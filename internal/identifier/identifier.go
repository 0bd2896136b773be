// Package identifier decides which texts from outside may be an ID, a name or an address.
//
// Such texts are written into headers, logs, files and messages to other processes. The
// rules keep out what one of these cannot hold: a protobuf message with text that is not
// UTF-8 cannot be encoded at all, and a line end in a header begins another header.
package identifier

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Bounds of the lengths, in bytes.
const (
	MaxIDBytes   = 256
	MaxNameBytes = 256
	// MaxTextBytes bounds path prefixes and keys.
	MaxTextBytes = 2048
	// maxQuotedBytes bounds how much of a refused text an error quotes.
	maxQuotedBytes = 64
)

// CheckID returns an error with the given code unless s is an ID: 1 to MaxIDBytes visible
// ASCII characters. what names the checked value in the error.
func CheckID(code resultcode.Code, what, s string) error {
	if s == "" || len(s) > MaxIDBytes || strings.ContainsFunc(s, notVisible) {
		return refused(code, what, s, fmt.Sprintf("must be 1 to %d visible ASCII characters", MaxIDBytes))
	}
	return nil
}

// CheckName returns an error with the given code unless s is a name: 1 to MaxNameBytes
// bytes of UTF-8 without control characters, and without spaces around it, which a header
// does not keep.
func CheckName(code resultcode.Code, what, s string) error {
	return checkText(code, what, s, MaxNameBytes)
}

// CheckOptionalName is CheckName for a name that may be empty.
func CheckOptionalName(code resultcode.Code, what, s string) error {
	if s == "" {
		return nil
	}
	return CheckName(code, what, s)
}

// CheckText is CheckName with MaxTextBytes.
func CheckText(code resultcode.Code, what, s string) error {
	return checkText(code, what, s, MaxTextBytes)
}

// CheckAddress returns an error with the given code unless s is the host:port of a process:
// an IP address or a host name, and a port from 1 to 65535.
func CheckAddress(code resultcode.Code, what, s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || len(s) > MaxNameBytes || !isHost(host) || !isPort(port) {
		return refused(code, what, s, "must be host:port with a port from 1 to 65535")
	}
	return nil
}

func checkText(code resultcode.Code, what, s string, most int) error {
	// Decoders replace bytes that are not UTF-8 by utf8.RuneError.
	if s == "" || len(s) > most || !utf8.ValidString(s) || strings.ContainsRune(s, utf8.RuneError) || strings.ContainsFunc(s, unicode.IsControl) || strings.TrimSpace(s) != s {
		return refused(code, what, s, fmt.Sprintf("must be 1 to %d bytes of UTF-8 without control characters or spaces around them", most))
	}
	return nil
}

func refused(code resultcode.Code, what, s, rule string) error {
	return resultcode.Newf(code, "%s %q %s", what, s[:min(len(s), maxQuotedBytes)], rule)
}

func notVisible(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }

// isHost reports whether a process can be reached at a host. Dialing an unspecified address
// reaches the dialing instance itself.
func isHost(s string) bool {
	if ip, err := netip.ParseAddr(s); err == nil {
		return !ip.IsUnspecified() && !ip.IsMulticast()
	}
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		letterOrDigit := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !letterOrDigit && !strings.ContainsRune("-._", r)
	})
}

// isPort reports whether s is a decimal number from 1 to 65535 without a sign or a leading
// zero: an address has one spelling.
func isPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0 && s == strconv.FormatUint(n, 10)
}
