package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// printer writes text results.
type printer struct{ w io.Writer }

func (p *printer) line(format string, args ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

func (p *printer) table(rows [][]string) {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// print writes v as JSON or calls text.
func (a *app) print(v any, text func(p *printer)) {
	a.resultPrinted = true
	if !a.json {
		text(&printer{a.stdout})
		return
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}

// printError writes the error of a command, as text to stderr or as one JSON
// object to stdout. JSON output omits the error if daemons lag and the result,
// which lists them, was already printed.
func (a *app) printError(err error, code int) {
	if !a.json {
		_, _ = fmt.Fprintln(a.stderr, "kingcuppitch: "+err.Error())
		return
	}
	var (
		refused *refusedError
		file    *fileError
	)
	switch {
	case errors.As(err, &file):
		a.print(file, nil)
	case errors.As(err, &refused):
		a.print(refused.appendResult, nil)
	case code == ExitLagging && a.resultPrinted:
	default:
		a.print(struct {
			Error    string `json:"error"`
			ExitCode int    `json:"exitCode"`
		}{err.Error(), code}, nil)
	}
}

// pluralize returns n and the noun, in the plural unless n is 1.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

func decimal(n int64) string { return strconv.FormatInt(n, 10) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format("2006-01-02T15:04:05.000Z07:00")
}

func unixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
