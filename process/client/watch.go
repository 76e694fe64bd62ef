package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/spf13/cobra"
)

const (
	// watchPollInterval is the interval between two checks of the condition.
	// Each event also triggers a check; polling covers events that were missed
	// while there was no connection.
	watchPollInterval = time.Second
	// watchReconnectTimeout is the time without a connection after which a
	// watch ends.
	watchReconnectTimeout = 30 * time.Second
)

func (a *app) newWatch() *cobra.Command {
	var until, since string
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Show the events of a daemon as they happen",
		Long: `watch shows the events of a daemon as they happen: a version that is in force, a
preset or availability zone that changed, a move that is done or taken back.

With --until the command ends when the condition holds:
  version       a version later than that at the start is in force
  version=N     version N or a later one is in force
  moveDone      a move ends that was not ended at the start
  moveDone=ID   the move with this number has ended
The exit code is 2 when the move was taken back, and 4 when --timeout passed.`,
		Example: `  kingcuppitch watch
  kingcuppitch watch --until moveDone=42 --timeout 15m`,
		Args: cobra.NoArgs,
	}
	cmd.Flags().StringVar(&until, "until", "", "`CONDITION` that ends the command")
	cmd.Flags().StringVar(&since, "since", "", "`TIME` of the first event (RFC 3339), or a length of time before now (default: now)")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		cond, err := parseCondition(until)
		if err != nil {
			return err
		}
		var after int64
		if since != "" {
			t, err := parseTime("since", since, time.Now())
			if err != nil {
				return err
			}
			after = t.UnixNano()
		}
		return a.watch(ctx, cond, after)
	}
	return cmd
}

// condition is the condition that ends a watch.
type condition struct {
	kind string // version, moveDone, or empty for none
	n    int64
	// ended holds the moves that had ended when the watch began.
	ended map[int64]bool
}

func parseCondition(text string) (*condition, error) {
	if text == "" {
		return &condition{}, nil
	}
	kind, number, ok := strings.Cut(text, "=")
	c := &condition{kind: kind}
	if kind != "version" && kind != "moveDone" {
		return nil, fmt.Errorf("--until: %q is not version, version=N, moveDone or moveDone=ID", text)
	}
	if ok {
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("--until: %q is not a positive number", number)
		}
		c.n = n
	}
	return c, nil
}

// captureStart records the version and the ended moves at the start of the
// watch.
func (c *condition) captureStart(res *wirev1.StatusResponse) {
	if c.kind == "version" && c.n == 0 {
		c.n = res.Version + 1
	}
	c.ended = make(map[int64]bool)
	for _, m := range res.Moves {
		c.ended[m.Move] = m.State != string(fold.MoveRunning)
	}
}

// met reports whether the condition holds. It returns an error if the move was
// taken back.
func (c *condition) met(res *wirev1.StatusResponse) (text string, ok bool, err error) {
	switch c.kind {
	case "version":
		return fmt.Sprintf("version %d is in force on %s", res.Version, res.Daemon), res.Version >= c.n, nil
	case "moveDone":
		for _, m := range res.Moves {
			if m.State == string(fold.MoveRunning) || c.n != 0 && m.Move != c.n || c.n == 0 && c.ended[m.Move] {
				continue
			}
			if m.State == string(fold.MoveTakenBack) {
				return "", true, exitf(ExitRefused, "move %d of %s from %s to %s is taken back: %s", m.Move, m.Upstream, m.From, m.To, m.Reason)
			}
			return fmt.Sprintf("move %d of %s from %s to %s is done", m.Move, m.Upstream, m.From, m.To), true, nil
		}
	}
	return "", false, nil
}

// watch prints the events after a time in Unix nanoseconds. 0 means the current
// time by the clock of the daemon.
func (a *app) watch(ctx context.Context, cond *condition, after int64) error {
	res, _, err := a.status(ctx)
	if err != nil {
		return err
	}
	cond.captureStart(res)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan timeline.Event)
	streamErr := make(chan error, 1)
	go func() { streamErr <- a.stream(ctx, after, events) }()
	poll := time.NewTicker(watchPollInterval)
	defer poll.Stop()
	for {
		if cond.kind != "" {
			if res, _, err := a.status(ctx); err == nil {
				if text, ok, err := cond.met(res); ok {
					if err == nil {
						a.printEnd(text)
					}
					return err
				}
			}
		}
		select {
		case e := <-events:
			a.printEvent(e)
		case <-poll.C:
		case err := <-streamErr:
			switch {
			case errors.Is(ctx.Err(), context.DeadlineExceeded) && cond.kind != "":
				return exitf(ExitLagging, "the condition did not occur within the timeout")
			case ctx.Err() != nil:
				return nil
			}
			return err
		}
	}
}

// stream delivers the events of the first daemon that answers, and reconnects
// when the connection is lost.
func (a *app) stream(ctx context.Context, after int64, events chan<- timeline.Event) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryInitialInterval, retryMaxInterval
	lastSeen := time.Now()
	for {
		var errs []error
		for _, d := range a.tryOrder() {
			err := d.watch(ctx, &after, &lastSeen, events)
			errs = append(errs, fmt.Errorf("watch %v: %w", d.addr, err))
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
		err := errors.Join(errs...)
		if time.Since(lastSeen) > watchReconnectTimeout {
			return exitf(ExitUnreachable, "no daemon reachable: %w", err)
		}
		_, _ = fmt.Fprintf(a.stderr, "kingcuppitch: connection lost, trying again: %v\n", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause.NextBackOff()):
		}
	}
}

func (d *daemon) watch(ctx context.Context, after *int64, lastSeen *time.Time, events chan<- timeline.Event) error {
	s, err := d.control.Watch(ctx, connect.NewRequest(&wirev1.WatchRequest{AfterWall: *after}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		e := s.Msg().Event
		*lastSeen = time.Now()
		if e == nil {
			continue
		}
		*after = max(*after, e.Wall)
		select {
		case events <- eventFromWire(e):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	return errors.New("the daemon ended the stream")
}

// printEvent writes one event. JSON output has one object per line.
func (a *app) printEvent(e timeline.Event) {
	if !a.json {
		(&printer{a.stdout}).line("%s", formatEvent(e))
		return
	}
	_ = json.NewEncoder(a.stdout).Encode(e)
}

func (a *app) printEnd(text string) {
	if !a.json {
		(&printer{a.stdout}).line("%s", text)
		return
	}
	_ = json.NewEncoder(a.stdout).Encode(struct {
		Condition string `json:"condition"`
	}{text})
}
