package client

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/spf13/cobra"
)

func (a *app) newMove() *cobra.Command {
	return group(&cobra.Command{
		Use:   "move",
		Short: "Move the traffic of an upstream to another version",
		Long: `move shifts the traffic of an upstream from one version to another in stages and
rolls it back when the new version shows a fault. A move is named by the
version (offset) of the record that started it.`,
	}, a.newMoveStart(), a.newMoveStatus(), a.newMoveStop())
}

func (a *app) newMoveStart() *cobra.Command {
	var (
		from, to, doneBy string
		within           time.Duration
	)
	cmd := &cobra.Command{
		Use:   "start UPSTREAM",
		Short: "Start a move",
		Long: `start begins a move. Both versions must be listed in the upstream's versions,
and --from must be the active one. The move ends by the time given, or is taken
back. Follow it with move status or watch --until moveDone.`,
		Example: `  kingcuppitch move start booking --from 1.4 --to 1.5 --within 10m
  kingcuppitch move start booking --from 1.4 --to 1.5 --done-by 2026-03-01T18:00:00+01:00`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&from, "from", "", "active `VERSION` of the upstream")
	cmd.Flags().StringVar(&to, "to", "", "`VERSION` to move to")
	cmd.Flags().StringVar(&doneBy, "done-by", "", "`TIME` by which the move is done (RFC 3339)")
	cmd.Flags().DurationVar(&within, "within", 0, "time in which the move is done")
	_ = cmd.MarkFlagRequired("from")
	_ = cmd.MarkFlagRequired("to")
	cmd.MarkFlagsOneRequired("done-by", "within")
	cmd.MarkFlagsMutuallyExclusive("done-by", "within")
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		now := time.Now().UTC()
		m := record.Move{Upstream: args[0], From: from, To: to, StartAt: now, DoneBy: now.Add(within)}
		if doneBy != "" {
			var err error
			if m.DoneBy, err = time.Parse(time.RFC3339, doneBy); err != nil {
				return fmt.Errorf("--done-by: %q is not an RFC 3339 time", doneBy)
			}
		}
		if !m.DoneBy.After(now) {
			return errors.New("the time by which the move is done has passed")
		}
		st, _, err := a.state(ctx)
		if err != nil {
			return err
		}
		rec := record.Record{Kind: record.KindMove, Base: st.Offset, Move: &m}
		return a.submit(ctx, rec, f, fmt.Sprintf("move of %s from %s to %s, done by %s", m.Upstream, m.From, m.To, formatTime(m.DoneBy)))
	}
	return cmd
}

func (a *app) newMoveStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status [ID]",
		Short: "Show the moves",
		Example: `  kingcuppitch move status
  kingcuppitch move status 42`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := a.commandContext(cmd.Context())
			defer cancel()
			var id int64
			if len(args) == 1 {
				var err error
				if id, err = parseMove(args[0]); err != nil {
					return err
				}
			}
			res, _, err := a.status(ctx)
			if err != nil {
				return err
			}
			moves := []moveOutput{}
			for _, m := range moveOutputs(res.Moves) {
				if id == 0 || m.Move == id {
					moves = append(moves, m)
				}
			}
			if id != 0 && len(moves) == 0 {
				return fmt.Errorf("move %d is not known to daemon %s", id, res.Daemon)
			}
			a.print(moves, func(p *printer) {
				if len(moves) == 0 {
					p.line("no moves")
					return
				}
				printMoves(p, moves)
			})
			return nil
		},
	}
}

func (a *app) newMoveStop() *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:     "stop ID",
		Short:   "Take a running move back",
		Long:    `stop takes a running move back: all traffic returns to the old version.`,
		Example: `  kingcuppitch move stop 42 --reason "invoices show the wrong total"`,
		Args:    cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why the move is taken back")
	_ = cmd.MarkFlagRequired("reason")
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		id, err := parseMove(args[0])
		if err != nil {
			return err
		}
		st, _, err := a.state(ctx)
		if err != nil {
			return err
		}
		rec := record.Record{Kind: record.KindMoveStop, Base: st.Offset, MoveStop: &record.MoveEnd{Move: id, Reason: reason}}
		return a.submit(ctx, rec, f, fmt.Sprintf("move %d is taken back", id))
	}
	return cmd
}

func parseMove(text string) (int64, error) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil || id < 1 {
		return 0, fmt.Errorf("%q is not the number of a move", text)
	}
	return id, nil
}
