package client

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// timelineOutput is the result of the command timeline.
type timelineOutput struct {
	Events     []timeline.Event `json:"events"`
	Daemons    int              `json:"daemons"`
	Unanswered []daemonEntry    `json:"unanswered"`
}

func (a *app) newTimeline() *cobra.Command {
	var (
		since string
		limit int
	)
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all daemons in one order",
		Long: `timeline asks every member that the first daemon knows for its events and merges
them into one order. An event that was caused by another follows it, whatever
the difference between the clocks. Daemons that did not answer are named.`,
		Example: `  kingcuppitch timeline --since 10m
  kingcuppitch timeline --since 2026-03-01T18:00:00+01:00 --limit 1000`,
		Args: cobra.NoArgs,
	}
	cmd.Flags().StringVar(&since, "since", "1h", "`TIME` of the first event (RFC 3339), or a length of time before now")
	cmd.Flags().IntVar(&limit, "limit", 200, "largest number of events; the latest are shown")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		after, err := parseTime("since", since, time.Now())
		if err != nil {
			return err
		}
		out, err := a.collectTimeline(ctx, after)
		if err != nil {
			return err
		}
		if n := len(out.Events) - max(limit, 0); n > 0 {
			out.Events = out.Events[n:]
		}
		a.print(out, func(p *printer) {
			for _, e := range out.Events {
				p.line("%s", formatEvent(e))
			}
			for _, l := range out.Unanswered {
				p.line("no answer from %s (%s, %s): %s", l.Daemon, l.Zone, l.Address, l.Error)
			}
		})
		return nil
	}
	return cmd
}

func (a *app) collectTimeline(ctx context.Context, after time.Time) (*timelineOutput, error) {
	res, first, err := a.status(ctx)
	if err != nil {
		return nil, err
	}
	members := make(map[string]*daemonEntry)
	for _, m := range res.Members {
		if m.PeerAddress != "" {
			members[m.PeerAddress] = &daemonEntry{Daemon: m.Name, Zone: m.Zone, Address: m.PeerAddress}
		}
	}
	members[first.addr.String()] = &daemonEntry{Daemon: res.Daemon, Zone: res.Zone, Address: first.addr.String()}
	out := &timelineOutput{Events: []timeline.Event{}, Daemons: len(members), Unanswered: []daemonEntry{}}
	var (
		mu    sync.Mutex
		lists [][]timeline.Event
		g     errgroup.Group
	)
	g.SetLimit(maxConcurrentRequests)
	for _, l := range members {
		g.Go(func() error {
			events, err := fetchTimeline(ctx, l.Address, after)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				l.Error = err.Error()
				out.Unanswered = append(out.Unanswered, *l)
				return nil
			}
			lists = append(lists, events)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(out.Unanswered, func(a, b daemonEntry) int {
		return strings.Compare(a.Daemon+" "+a.Address, b.Daemon+" "+b.Address)
	})
	out.Events = append(out.Events, timeline.Merge(lists...)...)
	return out, nil
}

func fetchTimeline(ctx context.Context, address string, after time.Time) ([]timeline.Event, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	d := newDaemon(addr)
	defer d.close()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	// The daemon returns the oldest events first, so the request asks for all
	// of them; the limit of the command is applied after the merge.
	res, err := d.control.Timeline(ctx, connect.NewRequest(&wirev1.TimelineRequest{
		AfterWall: after.UnixNano(), Limit: timeline.Capacity,
	}))
	if err != nil {
		return nil, err
	}
	events := make([]timeline.Event, 0, len(res.Msg.Events))
	for _, e := range res.Msg.Events {
		events = append(events, eventFromWire(e))
	}
	return events, nil
}

func eventFromWire(e *wirev1.Event) timeline.Event {
	return timeline.Event{
		Time:   timeline.Time{Wall: time.Unix(0, e.Wall).UTC(), Logical: e.Logical},
		Daemon: e.Daemon, Zone: e.Zone, Kind: timeline.Kind(e.Kind), Version: e.Version, Detail: e.Detail,
	}
}

func formatEvent(e timeline.Event) string {
	text := formatTime(e.Time.Wall) + " " + e.Daemon + " (" + e.Zone + ") " + string(e.Kind) + ": " + e.Detail
	if e.Version != 0 {
		text += " [version " + decimal(e.Version) + "]"
	}
	return text
}
