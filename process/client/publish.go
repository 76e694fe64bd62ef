package client

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/spf13/cobra"
)

func (a *app) newPublish() *cobra.Command {
	var (
		base         int64
		switchActive bool
	)
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish the configuration in a file",
		Long: `publish checks the file, compares it with the configuration in force and
publishes the difference. Resources that the file lacks are deleted.

The change is refused when another operator changed one of the same resources
after the version given with --base. Without --base, the file is taken as an
edit of the version in force now. Give --base with the version from which the
file was made, so that the work of others is not undone.

A change of the key active of an upstream switches all its traffic at once and
is sent only with --switch-active. To shift traffic by steps, use move start.`,
		Example: `  kingcuppitch publish config.toml
  kingcuppitch publish config.toml --base 41 --wait --timeout 30s`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().Int64Var(&base, "base", 0, "`VERSION` from which the file was made (default: the version in force)")
	cmd.Flags().BoolVar(&switchActive, "switch-active", false, "let the change switch the active version of an upstream at once")
	f := a.addRecordFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := a.commandContext(cmd.Context())
		defer cancel()
		cfg, err := readConfig(args[0])
		if err != nil {
			return err
		}
		st, _, err := a.state(ctx)
		if err != nil {
			return err
		}
		change := config.Diff(st.Config, cfg)
		if change.Empty() && f.id == "" {
			res := appendResult{Kind: record.KindPublish, Result: resultUnchanged, Version: st.Version}
			return a.finish(ctx, res, f, time.Now(), fmt.Sprintf("nothing to publish: version %d equals the file", st.Version))
		}
		if !switchActive {
			if err := checkActiveUnchanged(st.Config, change); err != nil {
				return err
			}
		}
		rec := record.Record{Kind: record.KindPublish, Base: st.Offset, Publish: &change}
		if cmd.Flags().Changed("base") {
			rec.Base = base
		}
		return a.submit(ctx, rec, f, describeChange(change))
	}
	return cmd
}

// checkActiveUnchanged returns an error if the change switches the active
// version of an upstream. A file that was not updated after a move would
// otherwise send all traffic back to the old version.
func checkActiveUnchanged(cur config.Config, change config.Change) error {
	for _, u := range change.Upserts.Upstreams {
		old, ok := cur.Upstream(u.Name)
		if ok && old.Active != u.Active {
			return fmt.Errorf("upstream %q: active: version %q is in force and the file has %q; correct the file, use move start, or give --switch-active to switch all traffic at once",
				u.Name, old.Active, u.Active)
		}
	}
	return nil
}

func describeChange(c config.Change) string {
	keys := c.Keys()
	if len(keys) == 0 {
		return "the file equals the configuration in force"
	}
	const shown = 5
	names := make([]string, 0, shown+1)
	for i, k := range keys {
		if i == shown {
			names = append(names, fmt.Sprintf("and %d more", len(keys)-shown))
			break
		}
		names = append(names, k.String())
	}
	return fmt.Sprintf("%s changed (%s)", pluralize(len(keys), "resource"), strings.Join(names, ", "))
}
