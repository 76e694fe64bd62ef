// Package fleet runs a mesh of real processes: the log, upstream instances and
// a daemon for each instance. The demo and the end-to-end tests use it.
//
// # Usage
//
//	bin, err := fleet.Build(ctx, dir)
//	f, err := fleet.Start(dir, bin, fleet.Specs(cfg, 1), readyBy)
//	defer f.Stop(killAt)
//	out, err := f.Client(ctx, "publish", "--wait", "config.toml")
//	err = f.AwaitReady(ctx, readyBy)
//	res, err := fleet.NewCaller().Do(ctx, f.Nodes[0].Settings.CallerAddress, fleet.Call{Method: "GET", Path: "/slots"})
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	modulePath = "github.com/kingcuppitch/kingcuppitch"
	// pollInterval is the time between two status requests to a daemon.
	pollInterval = 20 * time.Millisecond
	// requestTimeout bounds one status or admin request, and the end of a killed
	// process.
	requestTimeout = 2 * time.Second
)

// Binaries holds the paths of the programs.
type Binaries struct {
	Standin, Daemon, Client string
}

// Build builds the programs into dir.
func Build(ctx context.Context, dir string) (Binaries, error) {
	err := launcher.Build(ctx, dir, modulePath+"/standin/cmd/standin", modulePath+"/cmd/kingcuppitchd", modulePath+"/cmd/kingcuppitch")
	return Binaries{
		Standin: filepath.Join(dir, "standin"), Daemon: filepath.Join(dir, "kingcuppitchd"), Client: filepath.Join(dir, "kingcuppitch"),
	}, err
}

// Spec describes an upstream instance and its location.
type Spec struct {
	Name, Service, Version        string
	Region, Zone                  string
	Slots, ColdSlots, Connections int
	// ColdFor is the duration of the cold start, Work that of a request.
	ColdFor, Work time.Duration
}

// Specs returns perZone instances of the active version of each upstream in each
// zone.
func Specs(cfg config.Config, perZone int) []Spec {
	var specs []Spec
	for _, u := range cfg.Upstreams {
		for _, z := range cfg.Zones {
			for i := range perZone {
				specs = append(specs, Spec{
					Name:    fmt.Sprintf("%s-%s-%d", u.Name, z.Name, i+1),
					Service: u.Name, Version: u.Active, Region: z.Region, Zone: z.Name,
					Slots: u.Slots, ColdSlots: u.ColdSlots, Connections: u.Connections,
					ColdFor: 500 * time.Millisecond, Work: 2 * time.Millisecond,
				})
			}
		}
	}
	return specs
}

// Alternate writes a script to dir and returns its path. The script runs one of two
// builds of the daemon and switches to the other build at each restart of a daemon.
// All daemons start with the first build; if mixed is set, about half of them start
// with the second one.
func Alternate(dir, first, second string, mixed bool) (path string, err error) {
	const script = `#!/bin/sh
# Arguments: --settings FILE. The number of starts is kept beside the settings.
starts=$(cat "$2.starts" 2>/dev/null || echo 0)
echo $((starts + 1)) >"$2.starts"
offset=0
if %t; then offset=$(basename "$2" | cksum | cut -d ' ' -f 1); fi
if [ $(((starts + offset) %% 2)) -eq 0 ]; then exec "%s" "$@"; fi
exec "%s" "$@"
`
	f, err := os.CreateTemp(dir, "daemon-*.sh")
	if err != nil {
		return "", err
	}
	_, err = fmt.Fprintf(f, script, mixed, first, second)
	err = errors.Join(err, f.Chmod(0o700), f.Close())
	return f.Name(), eris.Wrap(err, "write the script that alternates two builds")
}

// Node is an upstream instance with its daemon.
type Node struct {
	Spec
	Settings              settings.Settings
	Address, AdminAddress netip.AddrPort
	Daemon, Instance      launcher.Process

	control wirev1connect.ControlClient
}

// Fleet is a running mesh.
type Fleet struct {
	Nodes []*Node
	// Log is the process of the log, LogAddress its address.
	Log        launcher.Process
	LogAddress netip.AddrPort

	bin      Binaries
	launcher launcher.Launcher
}

// Start starts the log, the instances and the daemons, with their files in dir.
// logArgs are additional arguments of the log process.
func Start(dir string, bin Binaries, specs []Spec, readyBy time.Time, logArgs ...string) (f *Fleet, err error) {
	f = &Fleet{bin: bin, launcher: launcher.NewLauncher(dir)}
	defer func() {
		if err != nil {
			f.Stop(time.Now().Add(time.Second))
		}
	}()
	addrs, err := loopback.FreeAddresses(1 + 6*len(specs))
	if err != nil {
		return nil, err
	}
	f.LogAddress = addrs[0]
	f.Log, err = f.launcher.Start(launcher.Command{
		Name: "log", Path: bin.Standin, Args: append([]string{"log", "--address", addrs[0].String()}, logArgs...),
		Serves: addrs[:1], ReadyBy: readyBy,
	})
	if err != nil {
		return nil, err
	}
	for i, spec := range specs {
		a := addrs[1+6*i:]
		f.Nodes = append(f.Nodes, &Node{
			Spec: spec, Address: a[0], AdminAddress: a[1],
			Settings: settings.Settings{
				Name: spec.Name, Region: spec.Region, Zone: spec.Zone,
				CallerAddress: a[2], PeerAddress: a[3], AnnounceAddress: a[4], MetricsAddress: a[5],
				LogAddress: f.LogAddress, InternalCallers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
				LogLevel: "info",
			},
			control: newControlClient(a[3]),
		})
	}
	var g errgroup.Group
	for _, n := range f.Nodes {
		for _, other := range f.Nodes {
			if other != n {
				n.Settings.Seeds = append(n.Settings.Seeds, other.Settings.PeerAddress)
			}
		}
		g.Go(func() error { return f.StartInstance(n, readyBy) })
		g.Go(func() error { return f.StartDaemon(n, readyBy) })
	}
	return f, g.Wait()
}

// newControlClient returns a client of the Control service over HTTP/2 without TLS.
func newControlClient(addr netip.AddrPort) wirev1connect.ControlClient {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return wirev1connect.NewControlClient(&http.Client{Transport: &http.Transport{Protocols: &protocols}}, "http://"+addr.String())
}

// StartInstance starts the upstream instance of a node.
func (f *Fleet) StartInstance(n *Node, readyBy time.Time) (err error) {
	n.Instance, err = f.launcher.Start(launcher.Command{
		Name: n.Name + ".upstream", Path: f.bin.Standin,
		Args: []string{
			"upstream", "--name", n.Name, "--service", n.Service, "--version", n.Version,
			"--address", n.Address.String(), "--admin", n.AdminAddress.String(), "--announce", n.Settings.AnnounceAddress.String(),
			"--slots", strconv.Itoa(n.Slots), "--cold-slots", strconv.Itoa(n.ColdSlots),
			"--connections", strconv.Itoa(n.Connections), "--cold-for", n.ColdFor.String(), "--work", n.Work.String(),
		},
		// The instance limits its connections and each one has a cost, so the check
		// connects only to the admin address.
		Serves: []netip.AddrPort{n.AdminAddress}, ReadyBy: readyBy,
	})
	return err
}

// StartDaemon starts or restarts the daemon of a node.
func (f *Fleet) StartDaemon(n *Node, readyBy time.Time) (err error) {
	path, err := f.launcher.WriteSettings(n.Name, n.Settings)
	if err != nil {
		return err
	}
	n.Daemon, err = f.launcher.Start(launcher.Command{
		Name: n.Name, Path: f.bin.Daemon, Args: []string{"--settings", path},
		Serves: []netip.AddrPort{n.Settings.CallerAddress, n.Settings.PeerAddress}, ReadyBy: readyBy,
	})
	return err
}

// Kill ends a process with SIGKILL and waits for its end.
func Kill(p launcher.Process) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, err := p.Wait(time.Now().Add(requestTimeout))
	return err
}

// Stop ends all processes; those that still run at killAt are killed.
func (f *Fleet) Stop(killAt time.Time) { f.launcher.Stop(killAt) }

// Client runs the operators' client with up to three daemons of the fleet and
// returns its standard output.
func (f *Fleet) Client(ctx context.Context, args ...string) (string, error) {
	var all []string
	for _, n := range f.Nodes[:min(3, len(f.Nodes))] {
		all = append(all, "--daemon", n.Settings.PeerAddress.String())
	}
	return f.bin.RunClient(ctx, append(all, args...)...)
}

// RunClient runs the operators' client and returns its standard output.
func (b Binaries) RunClient(ctx context.Context, args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, b.Client, args...) //nolint:gosec // the caller names the program
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	return stdout.String(), eris.Wrapf(err, "kingcuppitch %q: %s", args, stderr.String())
}

// Status returns the status of the daemon of a node.
func (f *Fleet) Status(ctx context.Context, n *Node) (*wirev1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res, err := n.control.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{}))
	if err != nil {
		return nil, eris.Wrapf(err, "status of %s", n.Name)
	}
	return res.Msg, nil
}

// AwaitVersion waits until all daemons serve the version or a later one.
func (f *Fleet) AwaitVersion(ctx context.Context, version int64, until time.Time) error {
	return f.awaitAll(ctx, until, func(s *wirev1.StatusResponse) error {
		if s.Offset < version || !s.Serving {
			return fmt.Errorf("%s has offset %d and serving %v, want offset %d", s.Daemon, s.Offset, s.Serving, version)
		}
		return nil
	})
}

// AwaitReady waits until all daemons serve and have all instances as ready members.
func (f *Fleet) AwaitReady(ctx context.Context, until time.Time) error {
	return f.awaitAll(ctx, until, func(s *wirev1.StatusResponse) error {
		ready := make(map[string]bool)
		for _, m := range s.Members {
			ready[m.Name] = m.State == string(upstream.Ready)
		}
		for _, n := range f.Nodes {
			if !ready[n.Name] || !s.Serving {
				return fmt.Errorf("%s: serving %v, %s is ready: %v", s.Daemon, s.Serving, n.Name, ready[n.Name])
			}
		}
		return nil
	})
}

func (f *Fleet) awaitAll(ctx context.Context, until time.Time, check func(*wirev1.StatusResponse) error) error {
	var g errgroup.Group
	for _, n := range f.Nodes {
		g.Go(func() error {
			for {
				s, err := f.Status(ctx, n)
				if err == nil {
					err = check(s)
				}
				if err == nil || time.Now().After(until) || ctx.Err() != nil {
					return err
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return g.Wait()
}

// SetLogFaults sets the faults of the log.
func (f *Fleet) SetLogFaults(ctx context.Context, faults logservice.Faults) error {
	return requestJSON(ctx, http.MethodPut, f.LogAddress, "/faults", faults, nil)
}

// RestoreLog restores the log from a copy of the given age.
func (f *Fleet) RestoreLog(ctx context.Context, age time.Duration) error {
	return requestJSON(ctx, http.MethodPost, f.LogAddress, "/restore?lostMs="+strconv.FormatInt(age.Milliseconds(), 10), nil, nil)
}

// LogStats returns the counters of the log.
func (f *Fleet) LogStats(ctx context.Context) (s logservice.Stats, err error) {
	err = requestJSON(ctx, http.MethodGet, f.LogAddress, "/stats", nil, &s)
	return s, err
}

// SetFaults sets the faults of an instance.
func (n *Node) SetFaults(ctx context.Context, faults upstream.Faults) error {
	return requestJSON(ctx, http.MethodPut, n.AdminAddress, "/faults", faults, nil)
}

// PostAdmin sends a POST request without a body to the admin address of the
// instance; path is, for example, "/drain".
func (n *Node) PostAdmin(ctx context.Context, path string) error {
	return requestJSON(ctx, http.MethodPost, n.AdminAddress, path, nil, nil)
}

// Stats returns the counters of the instance.
func (n *Node) Stats(ctx context.Context) (s upstream.Stats, err error) {
	err = requestJSON(ctx, http.MethodGet, n.AdminAddress, "/stats", nil, &s)
	return s, err
}

// Runs returns the combined runs of all instances. The counts of an instance are
// lost when its process ends, so a test that compares runs must not end instances
// that run keyed calls.
func (f *Fleet) Runs(ctx context.Context) (upstream.Runs, error) {
	sum := upstream.Runs{Keys: make(map[string]upstream.Run), Bodies: make(map[string]upstream.Run)}
	for _, n := range f.Nodes {
		select {
		case <-n.Instance.Done():
			continue
		default:
		}
		var runs upstream.Runs
		if err := requestJSON(ctx, http.MethodGet, n.AdminAddress, "/runs", nil, &runs); err != nil {
			return sum, err
		}
		addRuns(sum.Keys, runs.Keys)
		addRuns(sum.Bodies, runs.Bodies)
	}
	return sum, nil
}

func addRuns(sum, runs map[string]upstream.Run) {
	for k, r := range runs {
		s := sum[k]
		sum[k] = upstream.Run{Started: s.Started + r.Started, Completed: s.Completed + r.Completed}
	}
}

// requestJSON sends a request with an optional JSON body and decodes a JSON response
// into out unless it is nil.
func requestJSON(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s %v%s", method, addr, path) }()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= 300 {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(out)
}
