// Command standin runs test doubles of the platform, namely the log service and
// upstream instances, and tests of a mesh of real processes. It is not part of a
// release.
//
// # Usage
//
//	standin log --address 127.0.0.1:7400
//	standin upstream --service booking --address 127.0.0.1:8080 --announce 127.0.0.1:7403 --admin 127.0.0.1:8081
//	standin demo
//	standin measure --daemons 20,60,120
//	standin soak --seed 7 --for 2m
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
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Test doubles of the platform and its upstreams", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newLogCommand(), newUpstreamCommand(), newDemoCommand(), newMeasureCommand(), newSoakCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		hclog.L().Error("command failed", "error", err)
		os.Exit(1)
	}
}

// serve serves h until ctx ends. It then closes all connections without waiting for
// open long polls, which may last longer than the time allowed for a stop.
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
