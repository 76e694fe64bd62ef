// Package client implements the operators' command-line client.
//
// It calls the Connect service Control of any daemon over h2c. Commands that
// change something append one record to the configuration stream through a
// daemon. All attempts carry the same record id, so retrying an append whose
// response was lost does not change the result.
//
// # Usage
//
//	code := client.Run(ctx, os.Args[1:])
//	os.Exit(code)
//
// Exit codes are listed with the constants ExitDone to ExitUnknown.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
)

// The exit codes of the client.
const (
	// ExitDone means that the command was carried out.
	ExitDone = 0
	// ExitError means a usage or local error; nothing was sent.
	ExitError = 1
	// ExitRefused means that the record was refused, or that the move for
	// which a watch waited was taken back.
	ExitRefused = 2
	// ExitUnreachable means that no daemon could be reached.
	ExitUnreachable = 3
	// ExitLagging means that a record was accepted but was not in force
	// everywhere within the timeout, or that the condition of a watch did not
	// occur within it.
	ExitLagging = 4
	// ExitUnknown means that a record was sent and that its result did not
	// arrive within the timeout. Repeating the command with the same record id
	// is safe.
	ExitUnknown = 5
)

const (
	defaultDaemon  = "127.0.0.1:7402"
	defaultTimeout = 15 * time.Second
)

// Option configures Run.
type Option func(*app)

// WithOutput sets the writers for results and for error messages.
func WithOutput(stdout, stderr io.Writer) Option {
	return func(a *app) { a.stdout, a.stderr = stdout, stderr }
}

// WithInput sets the reader of the command key.
func WithInput(stdin io.Reader) Option { return func(a *app) { a.stdin = stdin } }

// app is the state that all commands share.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer

	daemons []*daemon
	// lastAnswered is the daemon that last answered a status request.
	lastAnswered atomic.Pointer[daemon]
	json         bool
	// resultPrinted reports whether a result was printed.
	resultPrinted bool
	author        string
	// deadline is the deadline of the command. It is zero for a watch without
	// --timeout.
	deadline time.Time
}

// exitError is an error with the exit code to return for it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, args []string, opts ...Option) int {
	a := &app{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr}
	for _, opt := range opts {
		opt(a)
	}
	root := a.newRoot()
	root.SetArgs(args)
	root.SetIn(a.stdin)
	root.SetOut(a.stdout)
	root.SetErr(a.stderr)
	err := root.ExecuteContext(ctx)
	for _, d := range a.daemons {
		d.close()
	}
	if err == nil {
		return ExitDone
	}
	code := ExitError
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	a.printError(err, code)
	return code
}

func (a *app) newRoot() *cobra.Command {
	var (
		daemons []string
		output  string
		timeout time.Duration
	)
	root := &cobra.Command{
		Use:   "kingcuppitch",
		Short: "Publish and watch the configuration of a mesh",
		Long: `kingcuppitch publishes configuration, switches presets, takes availability
zones out of service and moves traffic between versions of an upstream.

It needs one reachable daemon (flag --daemon). All times are RFC 3339, for
example 2026-03-01T18:00:00+01:00; lengths of time are written 90s or 10m.

Exit codes:
  0  done
  1  usage or local error, nothing was sent
  2  refused, or the move was taken back
  3  no daemon reachable
  4  accepted, but not in force everywhere within --timeout
  5  sent, but the result is unknown; repeat the command with the --id shown`,
		Example: `  kingcuppitch validate config.toml
  kingcuppitch publish config.toml --wait
  kingcuppitch --daemon 10.0.1.5:7402 --daemon 10.0.2.5:7402 status
  kingcuppitch move start booking --from 1.4 --to 1.5 --within 10m
  kingcuppitch timeline --since 10m`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			switch output {
			case "text", "json":
				a.json = output == "json"
			default:
				return fmt.Errorf("--output: %q is not text or json", output)
			}
			if timeout <= 0 {
				return fmt.Errorf("--timeout: %v is not positive", timeout)
			}
			if cmd.Name() != "watch" || cmd.Flags().Changed("timeout") {
				a.deadline = time.Now().Add(timeout)
			}
			for _, text := range daemons {
				addr, err := netip.ParseAddrPort(text)
				if err != nil || addr.Port() == 0 {
					return fmt.Errorf("--daemon: %q is not an IP number and a port", text)
				}
				a.daemons = append(a.daemons, newDaemon(addr))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringArrayVar(&daemons, "daemon", []string{defaultDaemon}, "peer address `IP:PORT` of a daemon; give it several times to try daemons in order")
	flags.StringVar(&output, "output", "text", "format of the results, `text|json`")
	flags.DurationVar(&timeout, "timeout", defaultTimeout, "time limit of the command; a watch has none unless it is given")
	root.AddCommand(
		a.newValidate(), a.newTrace(), a.newPublish(), a.newStatus(), a.newWatch(), a.newPreset(),
		a.newZone(), a.newMove(), a.newTimeline(), a.newKey(), a.newExplain(),
	)
	root.CompletionOptions.HiddenDefaultCmd = true
	return root
}

// group makes cmd a command that only has subcommands. By default, Cobra prints
// the help and reports success for an unknown subcommand.
func group(cmd *cobra.Command, subcommands ...*cobra.Command) *cobra.Command {
	cmd.AddCommand(subcommands...)
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return fmt.Errorf("%q needs a subcommand; see %q", cmd.CommandPath(), cmd.CommandPath()+" --help")
	}
	return cmd
}

// commandContext bounds ctx by the deadline of the command.
func (a *app) commandContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, a.deadline)
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// parseTime parses an RFC 3339 time, or a duration that is subtracted from now.
func parseTime(flag, text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--%s: %q is neither an RFC 3339 time nor a length of time", flag, text)
	}
	return t, nil
}
