package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/spf13/cobra"
)

// defaultZoneRamp is the default time in which a returning availability zone
// reaches its full share of the traffic.
const defaultZoneRamp = 60 * time.Second

func (a *app) newZone() *cobra.Command {
	return group(&cobra.Command{
		Use:   "zone",
		Short: "Take an availability zone out of service or bring it back",
	}, a.newZoneOut(), a.newZoneBack())
}

func (a *app) newZoneOut() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "out NAME",
		Short: "Take an availability zone out of service",
		Long: `out takes an availability zone out of service. Its instances finish the
requests that they have and receive no new ones after a few seconds.`,
		Example: `  kingcuppitch zone out nl-west-b --wait`,
		Args:    cobra.ExactArgs(1),
	}
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return a.setZone(cmd.Context(), record.Zone{Name: args[0], Out: true}, f,
			fmt.Sprintf("availability zone %s is out of service", args[0]))
	}
	return cmd
}

func (a *app) newZoneBack() *cobra.Command {
	var ramp time.Duration
	cmd := &cobra.Command{
		Use:   "back NAME",
		Short: "Bring an availability zone back into service",
		Long: `back brings an availability zone back into service. Its share of the traffic
grows from nothing to the full share until the ramp ends.`,
		Example: `  kingcuppitch zone back nl-west-b --ramp 2m`,
		Args:    cobra.ExactArgs(1),
	}
	cmd.Flags().DurationVar(&ramp, "ramp", defaultZoneRamp, "time until the availability zone has its full share")
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if ramp < 0 {
			return errors.New("--ramp: a negative time is not possible")
		}
		until := time.Now().Add(ramp).UTC()
		return a.setZone(cmd.Context(), record.Zone{Name: args[0], RampUntil: until}, f,
			fmt.Sprintf("availability zone %s has its full share at %s", args[0], formatTime(until)))
	}
	return cmd
}

func (a *app) setZone(ctx context.Context, zone record.Zone, f *recordFlags, effect string) error {
	ctx, cancel := a.commandContext(ctx)
	defer cancel()
	st, _, err := a.state(ctx)
	if err != nil {
		return err
	}
	return a.submit(ctx, record.Record{Kind: record.KindZone, Base: st.Offset, Zone: &zone}, f, effect)
}
