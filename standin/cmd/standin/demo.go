package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

const (
	// demoStartTimeout bounds the start of all processes of the demo.
	demoStartTimeout = 30 * time.Second
	// demoStopTimeout is the time after the demo until running processes are killed.
	demoStopTimeout = 15 * time.Second
	// callsPerRoute is the number of calls to each route.
	callsPerRoute = 20
)

func newDemoCommand() *cobra.Command {
	var file string
	var bin fleet.Binaries
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a mesh of real processes, publish a configuration and send calls",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo(cmd.Context(), cmd.OutOrStdout(), bin, file)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "config", "", "configuration to publish (default: examples/interviewBooking/config.toml)")
	flags.StringVar(&bin.Daemon, "daemon", "", "path of kingcuppitchd (default: built from source)")
	flags.StringVar(&bin.Client, "client", "", "path of kingcuppitch (default: built from source)")
	return cmd
}

func demo(ctx context.Context, w io.Writer, bin fleet.Binaries, file string) (err error) {
	dir, err := os.MkdirTemp("", "kingcuppitch-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if bin.Daemon == "" || bin.Client == "" {
		hclog.L().Info("building the programs")
		if bin, err = fleet.Build(ctx, dir); err != nil {
			return err
		}
	} else if bin.Standin, err = os.Executable(); err != nil {
		return err
	}
	if file == "" {
		root, err := launcher.RootDir(ctx)
		if err != nil {
			return err
		}
		file = filepath.Join(root, "examples", "interviewBooking", "config.toml")
	}
	data, err := os.ReadFile(file) //nolint:gosec // the user names the file
	if err != nil {
		return err
	}
	cfg, err := config.Parse(data)
	if err != nil {
		return err
	}
	if file, err = filepath.Abs(file); err != nil {
		return err
	}
	readyBy := time.Now().Add(demoStartTimeout)
	f, err := fleet.Start(dir, bin, fleet.Specs(cfg, 1), readyBy)
	if err != nil {
		return err
	}
	defer func() { f.Stop(time.Now().Add(demoStopTimeout)) }()
	hclog.L().Info("started", "daemons", len(f.Nodes), "zones", len(cfg.Zones))
	show := func(args ...string) error {
		_, _ = fmt.Fprintln(w, "\n$ kingcuppitch", strings.Join(args, " "))
		out, err := f.Client(ctx, args...)
		_, _ = fmt.Fprint(w, out)
		return err
	}
	if err = show("publish", "--wait", file); err != nil {
		return err
	}
	if err = f.AwaitReady(ctx, readyBy); err != nil {
		return err
	}
	if err = show("status"); err != nil {
		return err
	}
	if err = sendCalls(ctx, w, f, cfg); err != nil {
		return err
	}
	return show("timeline")
}

// sendCalls sends calls to each route, through all entries in turn, and prints how
// they ended.
func sendCalls(ctx context.Context, w io.Writer, f *fleet.Fleet, cfg config.Config) error {
	caller := fleet.NewCaller()
	defer caller.Close()
	_, _ = fmt.Fprintln(w)
	for _, route := range cfg.Routes {
		method := http.MethodGet
		if len(route.Methods) > 0 {
			method = route.Methods[0]
		}
		counts := make(map[string]int)
		begin := time.Now()
		for i := range callsPerRoute {
			call := fleet.Call{Method: method, Path: fmt.Sprintf("%s?n=%d", route.Prefix, i)}
			if !route.Idempotent {
				call.Body = fmt.Appendf(nil, "%s %d", route.Name, i)
				call.Key = fmt.Sprintf("demo-%s-%d", route.Name, i)
			}
			res, err := caller.Do(ctx, f.Nodes[i%len(f.Nodes)].Settings.CallerAddress, call)
			if err != nil {
				return eris.Wrapf(err, "call to route %s", route.Name)
			}
			counts[fmt.Sprintf("%d %s", res.Status, res.Outcome)]++
		}
		_, _ = fmt.Fprintf(w, "route %s: %d calls in %v: %v\n", route.Name, callsPerRoute, time.Since(begin).Round(time.Millisecond), counts)
	}
	return nil
}
