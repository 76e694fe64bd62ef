package client

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/spf13/cobra"
)

// statusOutput is the result of the command status.
type statusOutput struct {
	Daemon       string         `json:"daemon"`
	Zone         string         `json:"zone"`
	Address      string         `json:"address"`
	Offset       int64          `json:"offset"`
	Version      int64          `json:"version"`
	StateHash    string         `json:"stateHash"`
	Preset       string         `json:"preset"`
	Serving      bool           `json:"serving"`
	LogReachable bool           `json:"logReachable"`
	Warning      string         `json:"warning,omitempty"`
	Tenants      int            `json:"tenants,omitempty"`
	Members      []memberOutput `json:"members"`
	Moves        []moveOutput   `json:"moves"`
	Zones        []zoneOutput   `json:"zones"`
}

type memberOutput struct {
	Name        string `json:"name"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	Service     string `json:"service,omitempty"`
	Version     string `json:"version,omitempty"`
	State       string `json:"state"`
}

type zoneOutput struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
}

type moveOutput struct {
	Move     int64     `json:"move"`
	Upstream string    `json:"upstream"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	State    string    `json:"state"`
	Share    float64   `json:"share"`
	Reason   string    `json:"reason,omitempty"`
	StartAt  time.Time `json:"startAt"`
	DoneBy   time.Time `json:"doneBy"`
}

func (a *app) newStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of a daemon and what it knows of the mesh",
		Long: `status shows the version and preset in force on the first daemon that answers,
the availability zones, the moves, and the members that the daemon knows.
A daemon knows its own availability zone and the services that its routes call.`,
		Example: `  kingcuppitch status
  kingcuppitch status --daemon 10.0.1.5:7402 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.commandContext(cmd.Context())
			defer cancel()
			res, d, err := a.status(ctx)
			if err != nil {
				return err
			}
			out := statusOutput{
				Daemon: res.Daemon, Zone: res.Zone, Address: d.addr.String(), Offset: res.Offset, Version: res.Version,
				StateHash: res.StateHash, Preset: res.Preset, Serving: res.Serving, LogReachable: res.LogReachable,
				Warning: res.Warning, Tenants: countTenants(res.State), Members: []memberOutput{}, Moves: moveOutputs(res.Moves), Zones: []zoneOutput{},
			}
			for _, m := range res.Members {
				out.Members = append(out.Members, memberOutput{
					Name: m.Name, Region: m.Region, Zone: m.Zone, PeerAddress: m.PeerAddress,
					Service: m.Service, Version: m.Version, State: m.State,
				})
			}
			for _, z := range res.Zones {
				out.Zones = append(out.Zones, zoneOutput{Name: z.Name, Region: z.Region, State: z.State})
			}
			a.print(out, out.writeText)
			return nil
		},
	}
}

// countTenants returns the number of tenants in an encoded state; zero if it cannot be read.
func countTenants(state []byte) int {
	var st struct {
		Config struct {
			Tenants []json.RawMessage `json:"tenants"`
		} `json:"config"`
	}
	if json.Unmarshal(state, &st) != nil {
		return 0
	}
	return len(st.Config.Tenants)
}

func (s *statusOutput) writeText(p *printer) {
	p.table([][]string{
		{"daemon", fmt.Sprintf("%s (%s, %s)", s.Daemon, s.Zone, s.Address)},
		{"version", fmt.Sprintf("%d (offset %d, state %s)", s.Version, s.Offset, s.StateHash)},
		{"preset", cmp.Or(s.Preset, "none")},
		{"serving", yesNo(s.Serving)},
		{"log reachable", yesNo(s.LogReachable)},
	})
	if s.Tenants > 0 {
		p.line("%s; requests on routes that are not public need a key", pluralize(s.Tenants, "tenant"))
	}
	if s.Warning != "" {
		p.line("warning: %s", s.Warning)
	}
	if len(s.Zones) > 0 {
		rows := [][]string{{"ZONE", "REGION", "STATE"}}
		for _, z := range s.Zones {
			rows = append(rows, []string{z.Name, z.Region, z.State})
		}
		p.line("")
		p.table(rows)
	}
	if len(s.Moves) > 0 {
		p.line("")
		printMoves(p, s.Moves)
	}
	if len(s.Members) > 0 {
		rows := [][]string{{"MEMBER", "ZONE", "ADDRESS", "SERVICE", "VERSION", "STATE"}}
		for _, m := range s.Members {
			rows = append(rows, []string{m.Name, m.Zone, m.PeerAddress, m.Service, m.Version, m.State})
		}
		p.line("")
		p.table(rows)
	}
}

func moveOutputs(list []*wirev1.MoveStatus) []moveOutput {
	out := make([]moveOutput, 0, len(list))
	for _, m := range list {
		out = append(out, moveOutput{
			Move: m.Move, Upstream: m.Upstream, From: m.From, To: m.To, State: m.State, Share: m.Share,
			Reason: m.Reason, StartAt: unixNano(m.StartAtUnixNano), DoneBy: unixNano(m.DoneByUnixNano),
		})
	}
	return out
}

func printMoves(p *printer, moves []moveOutput) {
	rows := [][]string{{"MOVE", "UPSTREAM", "FROM", "TO", "STATE", "SHARE", "DONE BY", "REASON"}}
	for _, m := range moves {
		rows = append(rows, []string{
			decimal(m.Move), m.Upstream, m.From, m.To, m.State, fmt.Sprintf("%.0f%%", m.Share*100), formatTime(m.DoneBy), m.Reason,
		})
	}
	p.table(rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
