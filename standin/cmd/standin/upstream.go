package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

func newUpstreamCommand() *cobra.Command {
	var (
		name, service, version, admin  string
		address, announce              string
		slots, coldSlots, connections  int
		startFor, coldFor, work, quiet time.Duration
		seed                           uint64
		faults                         string
		exitOnCrash                    bool
	)
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Serve one upstream instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := netip.ParseAddrPort(address)
			if err != nil {
				return eris.Wrap(err, "--address")
			}
			opts := []upstream.Option{
				upstream.WithIdentity(name, service, version),
				upstream.WithAddress(addr),
				upstream.WithCapacity(slots, coldSlots, connections),
				upstream.WithStart(startFor, coldFor),
				upstream.WithWork(work),
				upstream.WithQuiet(quiet),
				upstream.WithSeed(seed),
				upstream.WithLogger(hclog.L()),
			}
			if announce != "" {
				if addr, err = netip.ParseAddrPort(announce); err != nil {
					return eris.Wrap(err, "--announce")
				}
				opts = append(opts, upstream.WithAnnounce(addr))
			}
			if exitOnCrash {
				opts = append(opts, upstream.WithExit(os.Exit))
			}
			in := upstream.NewInstance(opts...)
			if faults != "" {
				var f upstream.Faults
				if err = json.Unmarshal([]byte(faults), &f); err != nil {
					return eris.Wrap(err, "--faults")
				}
				in.SetFaults(f)
			}
			return runInstance(cmd.Context(), in, admin)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&name, "name", "upstream", "name of the instance")
	flags.StringVar(&service, "service", "upstream", "name of the service")
	flags.StringVar(&version, "version", "v1", "version of the service")
	flags.StringVar(&address, "address", "127.0.0.1:8080", "address to serve on")
	flags.StringVar(&admin, "admin", "127.0.0.1:8081", "address of the admin interface")
	flags.StringVar(&announce, "announce", "", "announce address of the daemon (default: no announcements)")
	flags.IntVar(&slots, "slots", 20, "concurrent requests when warm")
	flags.IntVar(&coldSlots, "cold-slots", 2, "concurrent requests in cold start")
	flags.IntVar(&connections, "connections", 120, "largest number of concurrent connections")
	flags.DurationVar(&startFor, "start-for", 0, "duration of the state starting")
	flags.DurationVar(&coldFor, "cold-for", 3*time.Second, "duration of the cold start")
	flags.DurationVar(&work, "work", 2*time.Millisecond, "duration of the work of a request")
	flags.DurationVar(&quiet, "quiet", 2*time.Second, "time without a new request after which a drain ends")
	flags.Uint64Var(&seed, "seed", 1, "seed of the random choice of faulty requests")
	flags.StringVar(&faults, "faults", "", "initial faults, as `JSON`")
	flags.BoolVar(&exitOnCrash, "exit-on-crash", false, "exit at a crash instead of restarting within the process")
	return cmd
}

// runInstance runs an instance and serves its admin interface until it has ended, so
// that its counters can be read while it drains.
func runInstance(ctx context.Context, in upstream.Instance, admin string) error {
	adminCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(adminCtx, admin, in.Admin()) })
	g.Go(func() error {
		defer cancel()
		return in.Run(ctx)
	})
	return g.Wait()
}
