// Package field finds malformed names of header fields in responses. net/http accepts
// blanks in the name of a field and does not take it for the field without them: a
// response with "Content-Length : 5" has no length. It also joins a line that begins with
// a blank to the field before it.
//
// # Usage
//
//	var head field.Head
//	br := bufio.NewReader(io.TeeReader(conn, &head))
//	head.Begin(br)
//	res, err := http.ReadResponse(br, req)
//	if line, malformed := head.Malformed(); malformed {
//		return errMalformed
//	}
//
// The header of a response that was read in another way, such as by an http.Transport, is
// checked with Malformed, which does not find joined lines.
package field

import (
	"bufio"
	"net/http"
	"strings"
)

// maxLine bounds the part of a malformed line that is kept, in bytes.
const maxLine = 64

// isNameByte reports whether a byte may be in the name of a field.
func isNameByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// IsName reports whether text is the name of a field.
func IsName(text string) bool {
	for i := range len(text) {
		if !isNameByte(text[i]) {
			return false
		}
	}
	return text != ""
}

// Malformed returns a malformed name in h. The result is false if there is none.
func Malformed(h http.Header) (name string, found bool) {
	for name := range h {
		if !IsName(name) {
			return name, true
		}
	}
	return "", false
}

// part is a part of a head.
type part int

const (
	// partNone is what follows a head; nothing is checked.
	partNone part = iota
	partStatusLine
	partLineStart
	// partLineEnd is after the CR of an empty line.
	partLineEnd
	partName
	partValue
	partMalformed
)

// Head checks the heads of the responses on a connection, which are written to it while
// another reader parses them. The zero value checks nothing until Begin.
type Head struct {
	part part
	// line holds the current line up to its name, or up to the first malformed byte.
	line []byte
}

// Begin starts with a new head. br has read through the Head; what it holds is the start
// of the head.
func (h *Head) Begin(br *bufio.Reader) {
	h.part = partStatusLine
	held, _ := br.Peek(br.Buffered())
	_, _ = h.Write(held)
}

// Malformed returns the beginning of the first line of the current head that does not begin
// with the name of a field and a colon. The result is false if there is none so far.
func (h *Head) Malformed() (line string, malformed bool) {
	if h.part != partMalformed {
		return "", false
	}
	return string(h.line), true
}

// Write implements io.Writer. It never fails.
func (h *Head) Write(p []byte) (int, error) {
	for _, c := range p {
		if h.part == partNone || h.part == partMalformed {
			break
		}
		h.part = h.next(c)
	}
	return len(p), nil
}

// next returns the part of the head after its byte c.
func (h *Head) next(c byte) part {
	switch h.part {
	case partStatusLine, partValue:
		if c == '\n' {
			h.line = h.line[:0]
			return partLineStart
		}
		return h.part
	case partLineStart, partLineEnd:
		if c == '\n' {
			return partNone
		}
	case partName:
		if c == ':' {
			return partValue
		}
	}
	if len(h.line) < maxLine {
		h.line = append(h.line, c)
	}
	switch {
	case h.part == partLineStart && c == '\r':
		return partLineEnd
	case h.part != partLineEnd && isNameByte(c):
		return partName
	}
	return partMalformed
}
