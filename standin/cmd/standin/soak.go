package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/soak"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func newSoakCommand() *cobra.Command {
	var (
		plan  soak.Plan
		seeds uint64
	)
	cmd := &cobra.Command{
		Use:     "soak",
		Short:   "Inject random faults into a mesh of real daemons and check the results at callers and servers",
		Example: "  standin soak --seed 7 --for 2m\n  standin soak --seed 1 --seeds 50 --for 30s --keep /tmp/soak",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(dir) }()
			if plan.Daemon == "" {
				bin, err := fleet.Build(cmd.Context(), dir)
				if err != nil {
					return err
				}
				plan.Daemon = bin.Daemon
			}
			plan.Dir = dir
			keep, failed := plan.Keep, 0
			for first := plan.Seed; plan.Seed < first+seeds; plan.Seed++ {
				if keep != "" {
					plan.Keep = filepath.Join(keep, fmt.Sprint(plan.Seed))
				}
				res, err := soak.Run(cmd.Context(), plan)
				if err != nil {
					return err
				}
				out := cmd.OutOrStdout()
				_, _ = fmt.Fprintf(out, "seed %d: %d violations, answers %v, disturbances %v, moves %v\n",
					plan.Seed, len(res.Violations), res.Answered, res.Injected, res.MoveEnds)
				for _, v := range res.Violations {
					_, _ = fmt.Fprintln(out, " ", v)
				}
				if len(res.Violations) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return eris.Errorf("%d of %d seeds had violations", failed, seeds)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of the plan, or the first seed of several")
	f.Uint64Var(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&plan.For, "for", time.Minute, "time during which faults are injected, for each seed")
	f.IntVar(&plan.Scale, "scale", 1, "multiplies the number of servers, which is 9")
	f.StringVar(&plan.Keep, "keep", "", "directory for the daemon logs of a seed with violations")
	f.StringVar(&plan.Before, "before", "", "path of kingcuppitchd of an earlier build, with which daemons alternate at each start")
	f.StringVar(&plan.Daemon, "daemon", "", "path of kingcuppitchd (default: built from source)")
	return cmd
}
