// Command kingcuppitchd is the daemon that runs beside each upstream instance.
//
// # Usage
//
//	kingcuppitchd --settings /etc/kingcuppitchd.toml
//
// Exit codes: 0 after a graceful shutdown, 1 for invalid settings or arguments, 2 if the
// daemon could not serve or could not finish its calls in time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch"
	"github.com/kingcuppitch/kingcuppitch/platform"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitSettings = 1
	exitFailed   = 2
)

func main() { os.Exit(run()) }

func run() (code int) {
	var path string
	cmd := &cobra.Command{
		Use:           "kingcuppitchd",
		Short:         "Serve callers and control one upstream instance",
		Example:       "  kingcuppitchd --settings /etc/kingcuppitchd.toml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			code = serve(path, s)
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "settings", "kingcuppitchd.toml", "path of the settings in TOML")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kingcuppitchd:", err)
		return exitSettings
	}
	return code
}

func serve(path string, s settings.Settings) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: s.Name, Level: hclog.LevelFromString(s.LogLevel), Output: os.Stdout, JSONFormat: true,
	})
	if n := s.CollectAbove(); n > 0 {
		debug.SetMemoryLimit(n)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	opts := []kingcuppitch.Option{kingcuppitch.WithSettings(s), kingcuppitch.WithLogger(logger)}
	if s.Platform {
		opts = append(opts, kingcuppitch.WithPlatform(platform.New(s, logger)))
	}
	d := kingcuppitch.New(opts...)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go settings.Watch(ctx, path, hup, logger, d)
	if err := d.Run(ctx); err != nil {
		logger.Error("daemon failed", "error", err)
		return exitFailed
	}
	return 0
}
