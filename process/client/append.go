package client

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/spf13/cobra"
)

// resultPending is the result in a response whose deadline passed before the
// daemon applied the record to its state.
const resultPending = "pending"

// resultUnchanged is the result of a publication that changes nothing.
const resultUnchanged = "unchanged"

// retryInitialInterval and retryMaxInterval bound the exponential backoff
// between two rounds of attempts.
const (
	retryInitialInterval = 100 * time.Millisecond
	retryMaxInterval     = 2 * time.Second
)

// recordFlags are the flags of all commands that append a record.
type recordFlags struct {
	id   string
	wait bool
}

func (a *app) addRecordFlags(cmd *cobra.Command) *recordFlags {
	f := new(recordFlags)
	cmd.Flags().StringVar(&a.author, "author", userName(), "author of the record")
	cmd.Flags().StringVar(&f.id, "id", "", "record `ID` of an earlier attempt whose result is unknown")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until all daemons that the first one knows hold the version")
	return f
}

// appendResult is the result of appending a record.
type appendResult struct {
	ID     string      `json:"id"`
	Kind   record.Kind `json:"kind"`
	Result string      `json:"result"`
	// Offset is the offset of the record in the log. Version equals it if the
	// record was accepted.
	Offset  int64  `json:"offset,omitempty"`
	Version int64  `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Winner and WinnerAuthor identify the conflicting version because of
	// which the record was refused.
	Winner       int64       `json:"winner,omitempty"`
	WinnerAuthor string      `json:"winnerAuthor,omitempty"`
	Wait         *waitResult `json:"wait,omitempty"`
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails; crypto/rand ends the process instead
	return hex.EncodeToString(b[:])
}

// submit appends rec, waits for its version with --wait, and prints the result.
// The effect describes the change in the text output.
func (a *app) submit(ctx context.Context, rec record.Record, f *recordFlags, effect string) error {
	rec.ID, rec.Author, rec.At = f.id, a.author, time.Now().UTC()
	if rec.ID == "" {
		rec.ID = newID()
	}
	start := time.Now()
	res, err := a.append(ctx, rec)
	if err != nil {
		return err
	}
	if res.Result == string(fold.Refused) {
		return &refusedError{res}
	}
	return a.finish(ctx, res, f, start, fmt.Sprintf("accepted as version %d: %s", res.Version, effect))
}

// finish waits for the version of res with --wait, and prints the result and
// the outcome of the wait.
func (a *app) finish(ctx context.Context, res appendResult, f *recordFlags, start time.Time, text string) (err error) {
	if f.wait {
		res.Wait, err = a.waitForVersion(ctx, res.Version, start)
		if err != nil {
			return err
		}
	}
	a.print(res, func(p *printer) {
		p.line("%s", text)
		if res.Wait != nil {
			res.Wait.writeText(p, res.Version)
		}
	})
	if res.Wait != nil && len(res.Wait.Lagging) > 0 {
		return exitf(ExitLagging, "version %d is not in force everywhere, lagging: %d of %s",
			res.Version, len(res.Wait.Lagging), pluralize(res.Wait.Daemons, "daemon"))
	}
	return nil
}

// refusedError reports that a record was refused.
type refusedError struct{ appendResult }

func (e *refusedError) Error() string {
	msg := "refused: " + e.Reason
	if e.Winner != 0 && e.WinnerAuthor != "" {
		msg += fmt.Sprintf("\nversion %d by %s is in force instead", e.Winner, e.WinnerAuthor)
	}
	return msg
}

func (e *refusedError) Unwrap() error { return &exitError{ExitRefused, errors.New(e.Reason)} }

// append sends the record to the daemons in order until one of them returns its
// result. All attempts send the same bytes, so the id identifies a record that
// an earlier attempt appended but whose response was lost.
func (a *app) append(ctx context.Context, rec record.Record) (appendResult, error) {
	data, err := rec.Encode()
	if err != nil {
		return appendResult{}, err
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryInitialInterval, retryMaxInterval
	sent := false
	for {
		var errs []error
		for _, d := range a.tryOrder() {
			res, err := d.append(ctx, data)
			switch {
			case err == nil && res.Result != resultPending:
				return a.resolve(ctx, rec, res), nil
			case err == nil:
				sent = true
				errs = append(errs, fmt.Errorf("%v: %s", d.addr, cmp.Or(strings.ReplaceAll(res.Reason, "\n", "; "), "the record is not applied yet")))
			case rejected(err):
				return appendResult{ID: rec.ID, Kind: rec.Kind, Result: string(fold.Refused), Reason: err.Error()}, nil
			default:
				sent = sent || !notSent(err)
				errs = append(errs, fmt.Errorf("append through %v: %w", d.addr, err))
			}
		}
		err := errors.Join(errs...)
		if !sent {
			return appendResult{}, exitf(ExitUnreachable, "no daemon reachable: %w", err)
		}
		select {
		case <-ctx.Done():
			return appendResult{}, exitf(ExitUnknown,
				"the result of record %s is unknown; repeat the command with --id %s\n%w", rec.ID, rec.ID, err)
		case <-time.After(pause.NextBackOff()):
		}
	}
}

func (d *daemon) append(ctx context.Context, data []byte) (*wirev1.AppendResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	res, err := d.control.Append(ctx, connect.NewRequest(&wirev1.AppendRequest{
		Record:           data,
		DeadlineUnixNano: deadline.Add(-responseMargin).UnixNano(),
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// rejected reports whether err is the response of a daemon that will never
// append the record.
func rejected(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return true
	}
	return false
}

// resolve completes the result from the state of a daemon: with the first
// outcome if the id is a duplicate, and with the author of the version because
// of which the record was refused.
func (a *app) resolve(ctx context.Context, rec record.Record, res *wirev1.AppendResponse) appendResult {
	out := appendResult{
		ID: rec.ID, Kind: rec.Kind, Result: res.Result, Offset: res.Offset, Reason: res.Reason, Winner: res.Winner,
	}
	if out.Result == string(fold.Accepted) {
		out.Version = out.Offset
		return out
	}
	st, _, err := a.state(ctx)
	if err != nil {
		return out
	}
	if first, ok := st.Outcome(rec.ID); ok && out.Result == string(fold.Duplicate) {
		out.Result, out.Offset, out.Reason, out.Winner = string(first.Result), first.Offset, first.Reason, first.Winner
		if first.Result == fold.Accepted {
			out.Version = out.Offset
		}
	}
	for _, t := range st.Touched {
		if t.Version == out.Winner {
			out.WinnerAuthor = t.Author
		}
	}
	return out
}
