package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/connection/peer"
	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	zoneCount = 3
	seedCount = 6
	// settleTime is the time between the first version and the measurement, which
	// keeps the cost of the start out of it.
	settleTime = 5 * time.Second
	// startTimeout bounds the start of all daemons.
	startTimeout = 60 * time.Second
	// convergenceTimeout bounds the wait for a version to be in force everywhere.
	convergenceTimeout = 10 * time.Second
	bytesPerKiB        = 1024
	httpTimeout        = 2 * time.Second
)

// Plan describes one measurement of the control traffic.
type Plan struct {
	// Daemons is the number of daemon processes, and Services the number of services
	// to which they are assigned in turn.
	Daemons, Services int
	// Changes is the number of versions published in the measured time.
	Changes int
	// Duration is the measured time, which starts after the settle time.
	Duration time.Duration
}

// Result holds the mean cost of control for one daemon, and the time until versions
// are in force everywhere.
type Result struct {
	Plan
	// BytesPerSecond counts both directions of all control connections that the
	// daemon opened or accepted.
	BytesPerSecond float64
	// CorePercent is the processor time in percent of one core.
	CorePercent float64
	// ResidentKiB is the resident memory and Goroutines the number of goroutines of
	// a daemon process.
	ResidentKiB, Goroutines float64
	// ConvergenceTimes holds, for each version, the time from the append until it is
	// in force on the last daemon, sorted.
	ConvergenceTimes []time.Duration
}

// mesh is a set of daemons without upstream processes: this process announces
// instances that do not exist.
type mesh struct {
	launcher launcher.Launcher
	log      log.Log
	settings []settings.Settings
	daemons  []launcher.Process
	pool     peer.Pool
	// last is the offset of the last published record.
	last int64
}

// Control runs one measurement with its files in dir.
func Control(ctx context.Context, dir string, bin fleet.Binaries, p Plan) (res Result, err error) {
	defer func() {
		err = eris.Wrapf(err, "measure %d daemons, %d services, %d changes", p.Daemons, p.Services, p.Changes)
	}()
	m := &mesh{launcher: launcher.NewLauncher(dir)}
	defer func() { m.launcher.Stop(time.Now().Add(10 * time.Second)) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err = m.start(bin, p); err != nil {
		return res, err
	}
	go m.announce(ctx, p)
	cfg := configuration(p)
	if _, err = m.publish(ctx, 0, config.Change{Upserts: cfg}, p); err != nil {
		return res, err
	}
	time.Sleep(settleTime)
	before, err := m.usage(ctx)
	if err != nil {
		return res, err
	}
	start := time.Now()
	res = Result{Plan: p}
	for i := range p.Changes {
		u := cfg.Upstreams[i%len(cfg.Upstreams)]
		u.Connections += 1 + i
		took, err := m.publish(ctx, i+1, config.Change{Upserts: config.Config{Upstreams: []config.Upstream{u}}}, p)
		if err != nil {
			return res, err
		}
		res.ConvergenceTimes = append(res.ConvergenceTimes, took)
		time.Sleep(time.Until(start.Add(p.Duration * time.Duration(i+1) / time.Duration(p.Changes))))
	}
	time.Sleep(time.Until(start.Add(p.Duration)))
	after, err := m.usage(ctx)
	if err != nil {
		return res, err
	}
	elapsed := time.Since(start).Seconds()
	n := float64(p.Daemons)
	// Each byte counts for both daemons of its connection.
	res.BytesPerSecond = 2 * (after.bytes - before.bytes) / elapsed / n
	res.CorePercent = 100 * (after.cpu - before.cpu) / elapsed / n
	res.ResidentKiB, res.Goroutines = after.resident/n, after.goroutines/n
	slices.Sort(res.ConvergenceTimes)
	return res, nil
}

func (m *mesh) start(bin fleet.Binaries, p Plan) error {
	readyBy := time.Now().Add(startTimeout)
	addrs, err := loopback.FreeAddresses(1 + 4*p.Daemons)
	if err != nil {
		return err
	}
	m.log = log.NewHTTPLog(addrs[0])
	_, err = m.launcher.Start(launcher.Command{
		Name: "log", Path: bin.Standin, Args: []string{"log", "--address", addrs[0].String()}, Serves: addrs[:1], ReadyBy: readyBy,
	})
	if err != nil {
		return err
	}
	var seeds []netip.AddrPort
	for i := range p.Daemons {
		a := addrs[1+4*i:]
		if i < seedCount {
			seeds = append(seeds, a[1])
		}
		m.settings = append(m.settings, settings.Settings{
			Name: fmt.Sprintf("daemon-%d", i), Region: "region", Zone: fmt.Sprintf("zone-%d", i%zoneCount),
			CallerAddress: a[0], PeerAddress: a[1], AnnounceAddress: a[2], MetricsAddress: a[3],
			LogAddress: addrs[0], LogLevel: "warn", Services: []string{serviceName(i, p)},
		})
	}
	m.daemons = make([]launcher.Process, p.Daemons)
	var g errgroup.Group
	g.SetLimit(16)
	for i := range m.settings {
		m.settings[i].Seeds = seeds
		g.Go(func() error {
			path, err := m.launcher.WriteSettings(m.settings[i].Name, m.settings[i])
			if err != nil {
				return err
			}
			m.daemons[i], err = m.launcher.Start(launcher.Command{
				Name: m.settings[i].Name, Path: bin.Daemon, Args: []string{"--settings", path},
				Serves: []netip.AddrPort{m.settings[i].PeerAddress}, ReadyBy: readyBy,
			})
			return err
		})
	}
	return g.Wait()
}

func serviceName(daemon int, p Plan) string { return fmt.Sprintf("service-%d", daemon%p.Services) }

// configuration returns a configuration with one upstream and two routes for each
// service.
func configuration(p Plan) config.Config {
	cfg := config.Config{Presets: []config.Preset{{Name: "ordinary", RetryPercent: 10, CanaryPercent: 5}}}
	for i := range zoneCount {
		cfg.Zones = append(cfg.Zones, config.Zone{Name: fmt.Sprintf("zone-%d", i), Region: "region"})
	}
	for i := range p.Services {
		name := fmt.Sprintf("service-%d", i)
		cfg.Upstreams = append(cfg.Upstreams, config.Upstream{Name: name, Versions: []string{"v1"}, Active: "v1", Slots: 20, ColdSlots: 2, Connections: 120})
		for _, kind := range []string{"read", "write"} {
			cfg.Routes = append(cfg.Routes, config.Route{
				Name: name + "-" + kind, Prefix: "/" + name + "/" + kind, Upstream: name, Idempotent: kind == "read",
				Class: kind, AnswerWithin: config.Duration(2 * time.Second),
			})
		}
	}
	return cfg
}

// announce announces an instance to each daemon every second until ctx ends.
func (m *mesh) announce(ctx context.Context, p Plan) {
	for ctx.Err() == nil {
		next := time.Now().Add(time.Second)
		for i, s := range m.settings {
			body := fmt.Sprintf(`{"service":%q,"version":"v1","address":"127.0.0.1:9","incarnation":1,"state":"ready"}`, serviceName(i, p))
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.AnnounceAddress.String()+"/announce", strings.NewReader(body))
			if err != nil {
				return
			}
			if res, err := http.DefaultClient.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}
		time.Sleep(time.Until(next))
	}
}

// publish appends a change and returns the time until it was in force on all daemons,
// according to their timelines.
func (m *mesh) publish(ctx context.Context, n int, c config.Change, p Plan) (time.Duration, error) {
	data, err := record.Record{ID: "measure-" + strconv.Itoa(n), Kind: record.KindPublish, Base: m.last, At: time.Now(), Publish: &c}.Encode()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	offset, err := m.log.Append(ctx, record.Stream, data)
	if err != nil {
		return 0, err
	}
	m.last = offset
	last := make([]time.Time, p.Daemons)
	var g errgroup.Group
	g.SetLimit(32)
	for i := range m.settings {
		g.Go(func() (err error) {
			last[i], err = m.awaitInForce(ctx, i, offset, start)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	return slices.MaxFunc(last, time.Time.Compare).Sub(start), nil
}

func (m *mesh) awaitInForce(ctx context.Context, daemon int, offset int64, start time.Time) (time.Time, error) {
	addr := m.settings[daemon].PeerAddress
	client := wirev1connect.NewControlClient(m.pool.Client(addr), "http://"+addr.String())
	for time.Since(start) < convergenceTimeout {
		res, err := client.Timeline(ctx, connect.NewRequest(&wirev1.TimelineRequest{AfterWall: start.UnixNano()}))
		if err == nil {
			for _, e := range res.Msg.GetEvents() {
				// A daemon may get a later version with the state of a snapshot.
				if e.GetVersion() >= offset && e.GetKind() == string(timeline.KindVersion) {
					return time.Unix(0, e.GetWall()), nil
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("version %d is not in force on daemon %d after %v", offset, daemon, convergenceTimeout)
}

// usage holds the resource usage summed over all daemons.
type usage struct {
	bytes, cpu, resident, goroutines float64
}

func (m *mesh) usage(ctx context.Context) (u usage, err error) {
	for i, s := range m.settings {
		var vars map[string]float64
		if err := getJSON(ctx, s.MetricsAddress, &vars); err != nil {
			return u, err
		}
		u.bytes += vars["control.bytesIn"] + vars["control.bytesOut"]
		u.cpu += vars["process.cpuSeconds"]
		u.goroutines += vars["process.goroutines"]
		resident, err := residentKiB(m.daemons[i].PID())
		if err != nil {
			return u, err
		}
		u.resident += resident
	}
	return u, nil
}

func getJSON(ctx context.Context, addr netip.AddrPort, out any) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/debug/vars", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(out)
}

// residentKiB returns the resident memory of a process.
func residentKiB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(data)
	pages, err := strconv.ParseFloat(string(fields[1]), 64)
	return pages * float64(os.Getpagesize()) / bytesPerKiB, err
}
