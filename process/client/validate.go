package client

import (
	"os"
	"strings"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/spf13/cobra"
)

func (a *app) newValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file without a daemon",
		Long: `validate reads a configuration file and reports all its problems, each with
the key and, where it is known, the line. It needs no daemon.`,
		Example: `  kingcuppitch validate examples/interviewBooking/config.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			cfg, err := readConfig(args[0])
			if err != nil {
				return err
			}
			res := struct {
				File      string `json:"file"`
				Zones     int    `json:"zones"`
				Upstreams int    `json:"upstreams"`
				Routes    int    `json:"routes"`
				Presets   int    `json:"presets"`
				Tenants   int    `json:"tenants,omitempty"`
			}{args[0], len(cfg.Zones), len(cfg.Upstreams), len(cfg.Routes), len(cfg.Presets), len(cfg.Tenants)}
			a.print(res, func(p *printer) {
				tenants := ""
				if res.Tenants > 0 {
					tenants = ", " + pluralize(res.Tenants, "tenant")
				}
				p.line("%s is valid: %s, %s, %s, %s%s", res.File, pluralize(res.Zones, "availability zone"),
					pluralize(res.Upstreams, "upstream"), pluralize(res.Routes, "route"), pluralize(res.Presets, "preset"), tenants)
			})
			return nil
		},
	}
}

// fileError lists the problems of a configuration file.
type fileError struct {
	Message  string            `json:"error"`
	ExitCode int               `json:"exitCode"`
	File     string            `json:"file"`
	Problems []*config.Problem `json:"problems"`
}

func (e *fileError) Error() string {
	var b strings.Builder
	b.WriteString(e.Message + ":")
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.Error())
	}
	return b.String()
}

func readConfig(path string) (config.Config, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return config.Config{}, err
	}
	cfg, err := config.Parse(data)
	if list := config.Problems(err); len(list) > 0 {
		return config.Config{}, &fileError{
			Message: path + " is not valid", ExitCode: ExitError,
			File: path, Problems: list,
		}
	}
	return cfg, err
}
