package main

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/spf13/cobra"
)

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
	flags.DurationVar(&retainFor, "retain-for", logservice.DefaultRetainFor, "largest age of the records that a stream retains")
	flags.Uint64Var(&seed, "seed", 1, "seed of the random choice of lost answers")
	return cmd
}
