package instance

import (
	"bytes"

	"github.com/kingcuppitch/kingcuppitch/internal/status"
)

// maxStatusEnd bounds the position at which the status in a status line ends, in bytes.
// It is that of HTTP/1.1 and a status of three digits, with some spaces between them.
const maxStatusEnd = 32

// peekStatus returns the status in the next status line, or its first digits if it is too
// long, without reading it. The text is empty if no status ends within maxStatusEnd. The
// result is false if the line has no status or cannot be read; http.ReadResponse reports
// that. peekStatus waits for no byte that http.ReadResponse would not wait for.
func (c *conn) peekStatus() (text string, ok bool) {
	found := false
	for n := 1; n <= maxStatusEnd; n++ {
		line, err := c.br.Peek(n)
		if err != nil {
			return "", false
		}
		var rest []byte
		_, rest, found = bytes.Cut(line, []byte(" "))
		rest = bytes.TrimLeft(rest, " ")
		end := bytes.IndexAny(rest, " \r\n")
		switch {
		case end >= 0:
			return string(rest[:end]), true
		case len(rest) > status.Digits:
			return string(rest), true
		case !found && line[n-1] == '\n':
			return "", false
		}
	}
	// http.ReadResponse skips any number of spaces before a status.
	return "", found
}

// hasMalformedStatus reports whether the next status line has a status that is none of an
// answer, and returns it.
func (c *conn) hasMalformedStatus() (text string, malformed bool) {
	text, ok := c.peekStatus()
	return text, ok && !status.Is(text)
}
