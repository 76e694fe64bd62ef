package client

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcuppitch/kingcuppitch/request/entry"
	"github.com/spf13/cobra"
)

// maxExplanation bounds the explanation that is read.
const maxExplanation = 16 << 20

func (a *app) newExplain() *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use:   "explain METHOD URL",
		Short: "Show where a daemon would send a request now, and why",
		Long: `explain asks one daemon where it would send a request of a new caller now. The
request is not sent, and nothing changes.

URL is https://HOST/PATH, HOST/PATH or /PATH. The key of a tenant is read from the
file of --key-file. Several instances may be possible: the daemon chooses with
random numbers, so repeated commands may show different instances.`,
		Example: `  kingcuppitch --daemon 10.0.1.5:7402 explain GET /slots/today
  kingcuppitch explain POST https://booking.example/reserve/7 --key-file acme.key`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			target := args[1]
			if !strings.HasPrefix(target, "/") && !strings.Contains(target, "://") {
				target = "http://" + target
			}
			query := url.Values{"method": {strings.ToUpper(args[0])}, "url": {target}}
			key, err := readKeyFile(keyFile)
			if err != nil {
				return err
			}
			ctx, cancel := a.commandContext(cmd.Context())
			defer cancel()
			x, err := a.explain(ctx, query, key)
			if err != nil {
				return err
			}
			a.print(x, func(p *printer) { writeExplanation(p, x) })
			return nil
		},
	}
	cmd.Flags().StringVar(&keyFile, "key-file", "", "`FILE` with the key of a tenant")
	return cmd
}

// readKeyFile returns the key in a file, or an empty one if no file is named.
func readKeyFile(name string) (key string, err error) {
	if name == "" {
		return "", nil
	}
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	return readKey(f)
}

// explain asks the daemons in order and returns the first explanation.
func (a *app) explain(ctx context.Context, query url.Values, key string) (x entry.Explanation, err error) {
	var errs []error
	for _, d := range a.tryOrder() {
		if x, err = d.explain(ctx, query, key); err == nil {
			return x, nil
		}
		errs = append(errs, fmt.Errorf("explanation of %v: %w", d.addr, err))
	}
	return x, exitf(ExitUnreachable, "no daemon answered: %w", errors.Join(errs...))
}

func (d *daemon) explain(ctx context.Context, query url.Values, key string) (x entry.Explanation, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr.String()+entry.ExplainPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return x, err
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := d.transport.RoundTrip(r)
	if err != nil {
		return x, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxExplanation))
	switch {
	case err != nil:
		return x, err
	case res.StatusCode != http.StatusOK:
		return x, fmt.Errorf("status %d: %.200s", res.StatusCode, strings.TrimSpace(string(data)))
	}
	return x, json.Unmarshal(data, &x)
}

func writeExplanation(p *printer, x entry.Explanation) {
	p.line("daemon %s in zone %s, configuration version %d", x.Daemon, x.Zone, x.Version)
	if x.Route != "" {
		internal := ""
		if x.Internal {
			internal = " (internal: callers outside of the mesh get 403)"
		}
		p.line("route %s, class %s, tenant %s%s", x.Route, cmp.Or(x.Class, "-"), cmp.Or(x.Tenant, "-"), internal)
	}
	for _, name := range slices.Sorted(maps.Keys(x.Backends)) {
		p.line("backend %s: %.1f%% of the requests", name, 100*x.Backends[name])
	}
	if x.Upstream != "" {
		p.line("upstream %s, version %s", x.Upstream, cmp.Or(x.UpstreamVersion, "-"))
	}
	if x.AdmittedShare > 0 && x.AdmittedShare < 1 {
		p.line("%.0f%% of the requests are admitted, because upstreams that they need lack the capacity", 100*x.AdmittedShare)
	}
	switch {
	case x.Refusal != nil:
		p.line("refused with %d, outcome %s, reason %s: %s", x.Refusal.Status, x.Refusal.Outcome, x.Refusal.Reason, x.Refusal.Detail)
	case x.Possible > 1:
		p.line("chosen: %s, one of %d possible (rule %s)", x.Chosen, x.Possible, x.Rule)
	default:
		p.line("chosen: %s, the only one possible (rule %s)", x.Chosen, x.Rule)
	}
	if len(x.Instances) == 0 {
		return
	}
	rows := [][]string{{"INSTANCE", "ZONE", "IN FLIGHT", "LIMIT", "PER SECOND", "REPORT AGE", "COST", "NOT A CHOICE"}}
	for _, in := range x.Instances {
		age := "-"
		if in.ReportAgeMs != nil {
			age = fmt.Sprintf("%.0fms", *in.ReportAgeMs)
		}
		rows = append(rows, []string{
			in.Instance, in.Zone, strconv.Itoa(in.InFlight), known(float64(in.Limit), "%.0f"), known(in.Capacity, "%.1f"),
			age, known(in.Cost, "%.2f"), string(in.Obstacle),
		})
	}
	p.table(rows)
}

// known formats a number that is zero if it is not known.
func known(v float64, format string) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf(format, v)
}
