// Command standin runs the stand-ins for the platform: the log service and
// upstream instances. It does not ship.
//
// # Usage
//
//	standin log --address 127.0.0.1:7400
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform and its upstreams", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newLogCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		hclog.L().Error("command failed", "error", err)
		os.Exit(1)
	}
}

func newLogCommand() *cobra.Command {
	var address string
	var perSecond float64
	var retainRecords int
	var retainFor time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Serve the append-only log",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), address, logservice.NewService(
				logservice.WithRate(perSecond),
				logservice.WithRetention(retainRecords, retainFor),
				logservice.WithSeed(seed),
			))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7400", "address to listen on")
	flags.Float64Var(&perSecond, "rate", logservice.DefaultRate, "appends per second over all streams")
	flags.IntVar(&retainRecords, "retain-records", logservice.DefaultRetainRecords, "records that a stream retains")
	flags.DurationVar(&retainFor, "retain-for", logservice.DefaultRetainFor, "age up to which records are retained")
	flags.Uint64Var(&seed, "seed", 1, "seed of the choice of lost answers")
	return cmd
}

// serve serves h until ctx ends. Reads that wait are cut at the end, because
// they may last longer than a stop may take.
func serve(ctx context.Context, address string, h http.Handler) (err error) {
	defer func() { err = eris.Wrapf(err, "serve on %s", address) }()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	hclog.L().Info("serving", "address", ln.Addr().String())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err = srv.Serve(ln); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
