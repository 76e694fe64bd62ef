package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// traceLine is a log line about one request.
type traceLine struct {
	At      time.Time      `json:"at"`
	Daemon  string         `json:"daemon"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func (a *app) newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Show the path of one request from the logs of daemons",
		Long: `trace reads the logs of daemons, JSON lines as they write them to standard
output, and prints those on one request in the order of their time. Without a
file it reads standard input. It needs no daemon.

Clocks of instances differ by some milliseconds; the line of the entry that says
how a request ended is written after those of the hosts.`,
		Example: `  kingcuppitch trace 9c41d07be2a35f68 booking-1.log booking-2.log`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readTraceFiles(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return fmt.Errorf("no line on request %s: it may be an ordinary request that was not sampled, or the logs may not cover its time", args[0])
			}
			a.print(lines, func(p *printer) {
				for _, l := range lines {
					p.line("%s  %s  %s", l.At.Format("15:04:05.000"), l.Daemon, l.Message)
					for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
						if v := l.Fields[name]; v != "" {
							p.line("    %s: %v", name, v)
						}
					}
				}
			})
			return nil
		},
	}
}

func readTraceFiles(id string, files []string) (lines []traceLine, err error) {
	if len(files) == 0 {
		return readTraceLines(id, os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, err
		}
		found, err := readTraceLines(id, f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.At.Compare(b.At) })
	return lines, nil
}

// readTraceLines returns the lines about a request. It skips any prefix before
// the JSON of a line, because some log collectors add one.
func readTraceLines(id string, r io.Reader) (lines []traceLine, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		_, text, found := strings.Cut(sc.Text(), "{")
		if !found || !strings.Contains(text, id) {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte("{"+text), &fields) != nil || fields["id"] != id {
			continue
		}
		l := traceLine{Fields: fields}
		at, _ := fields["@timestamp"].(string)
		if l.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
			return nil, err
		}
		l.Daemon, _ = fields["@module"].(string)
		l.Message, _ = fields["@message"].(string)
		for _, name := range []string{"id", "@timestamp", "@module", "@message", "@level"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, sc.Err()
}
