package client

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/spf13/cobra"
)

// defaultPresetDelay is the default time until a preset is activated. It gives
// the record time to reach all daemons, so that they switch together.
const defaultPresetDelay = 2 * time.Second

func (a *app) newPreset() *cobra.Command {
	return group(&cobra.Command{
		Use:   "preset",
		Short: "Show or set the preset in force",
		Long: `preset shows the preset in force and the schedule, or puts another preset in
force. Exactly one preset is in force at any moment.`,
	}, a.newPresetShow(), a.newPresetSet())
}

func (a *app) newPresetShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Show the preset in force and the schedule",
		Example: `  kingcuppitch preset show`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.commandContext(cmd.Context())
			defer cancel()
			st, _, err := a.state(ctx)
			if err != nil {
				return err
			}
			now := time.Now()
			inForce, _ := st.InForce(now)
			res := struct {
				InForce  string            `json:"inForce"`
				Schedule []fold.Activation `json:"schedule"`
				Presets  []config.Preset   `json:"presets"`
			}{inForce.Name, []fold.Activation{}, st.Config.Presets}
			for _, act := range st.Schedule {
				if act.At.After(now) {
					res.Schedule = append(res.Schedule, act)
				}
			}
			a.print(res, func(p *printer) {
				rows := [][]string{{"PRESET", "IN FORCE", "SHED FIRST TO LAST", "RETRY %", "CANARY %"}}
				for _, pr := range res.Presets {
					rows = append(rows, []string{
						pr.Name, yesNo(pr.Name == res.InForce), strings.Join(pr.Shed, ", "),
						decimal(int64(pr.RetryPercent)), decimal(int64(pr.CanaryPercent)),
					})
				}
				p.table(rows)
				for _, act := range res.Schedule {
					p.line("%s is in force from %s", act.Name, formatTime(act.At))
				}
			})
			return nil
		},
	}
}

func (a *app) newPresetSet() *cobra.Command {
	var (
		at string
		in time.Duration
	)
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Put a preset in force",
		Long: `set puts a preset in force at a given time on all daemons together. Activations
that were planned for a later time are cancelled.`,
		Example: `  kingcuppitch preset set peak
  kingcuppitch preset set ordinary --at 2026-03-01T18:00:00+01:00`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&at, "at", "", "activation `TIME` (RFC 3339)")
	cmd.Flags().DurationVar(&in, "in", defaultPresetDelay, "time until the activation")
	cmd.MarkFlagsMutuallyExclusive("at", "in")
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		if in < 0 {
			return errors.New("--in: a negative time is not possible")
		}
		activateAt := time.Now().Add(in).UTC()
		if at != "" {
			var err error
			if activateAt, err = time.Parse(time.RFC3339, at); err != nil {
				return fmt.Errorf("--at: %q is not an RFC 3339 time", at)
			}
		}
		st, _, err := a.state(ctx)
		if err != nil {
			return err
		}
		rec := record.Record{
			Kind: record.KindPreset, Base: st.Offset,
			Preset: &record.Preset{Name: args[0], ActivateAt: activateAt},
		}
		return a.submit(ctx, rec, f, fmt.Sprintf("preset %s is in force from %s", args[0], formatTime(activateAt)))
	}
	return cmd
}
