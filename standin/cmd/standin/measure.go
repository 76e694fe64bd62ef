package main

import (
	"fmt"
	"os"
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/measure"
	"github.com/spf13/cobra"
)

// newMeasureCommand returns a command that measures the cost of control traffic for a
// daemon.
func newMeasureCommand() *cobra.Command {
	var (
		daemons, services []int
		changes           int
		duration          time.Duration
	)
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Measure the control traffic, processor time, memory and convergence time of real daemons",
		Example: "  standin measure --daemons 20,60,120 --services 5 --changes 20 --for 20s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "measure")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(dir) }()
			bin, err := fleet.Build(cmd.Context(), dir)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			_, _ = fmt.Fprintln(out, "daemons services changes seconds bytes/s core% residentKiB goroutines convergedP50ms convergedMaxMs")
			for _, d := range daemons {
				for _, s := range services {
					res, err := measure.Control(cmd.Context(), dir, bin, measure.Plan{Daemons: d, Services: s, Changes: changes, Duration: duration})
					if err != nil {
						return err
					}
					var p50, last time.Duration
					if n := len(res.ConvergenceTimes); n > 0 {
						p50, last = res.ConvergenceTimes[n/2], res.ConvergenceTimes[n-1]
					}
					_, _ = fmt.Fprintf(out, "%7d %8d %7d %7.0f %7.0f %5.2f %11.0f %10.0f %14d %14d\n",
						d, s, changes, duration.Seconds(), res.BytesPerSecond, res.CorePercent, res.ResidentKiB, res.Goroutines, p50.Milliseconds(), last.Milliseconds())
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&daemons, "daemons", []int{20, 60}, "numbers of daemon processes")
	f.IntSliceVar(&services, "services", []int{5}, "numbers of services to which the daemons are assigned in turn")
	f.IntVar(&changes, "changes", 10, "number of versions published in the measured time")
	f.DurationVar(&duration, "for", 20*time.Second, "duration of the measurement for each row")
	return cmd
}
