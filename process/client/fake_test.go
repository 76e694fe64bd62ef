package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
)

// fakeDaemonConfig configures the faults and the data of one fake daemon.
type fakeDaemonConfig struct {
	Name string `json:"name"`
	// Down daemons refuse connections.
	Down bool `json:"down"`
	// Silent daemons accept requests and never respond.
	Silent bool `json:"silent"`
	// Lagging daemons stay at offset 0.
	Lagging bool `json:"lagging"`
	// LoseAnswers is the number of appends that take effect but whose response
	// is lost.
	LoseAnswers int `json:"loseAnswers"`
	// Pending is the number of appends that return the result pending before
	// the record is applied.
	Pending int `json:"pending"`
	// Duplicates makes the daemon return the result duplicate for a repeated
	// id instead of the first outcome.
	Duplicates bool `json:"duplicates"`
	// State is the membership state of the daemon, ready by default.
	State string `json:"state"`
	// Events are the events that the daemon holds.
	Events []fakeEvent `json:"events"`
}

type fakeEvent struct {
	At     time.Time     `json:"at"`
	Kind   timeline.Kind `json:"kind"`
	Detail string        `json:"detail"`
}

// fakeMesh is a set of fake daemons that share one log and one state.
type fakeMesh struct {
	mu      sync.Mutex
	state   fold.State
	daemons []*fakeDaemon
	// appends holds the records of all calls of Append.
	appends []string
	// offset is the offset of the last record in the log.
	offset int64
}

// fakeDaemon is one daemon of a fakeMesh.
type fakeDaemon struct {
	wirev1connect.UnimplementedControlHandler
	cfg    fakeDaemonConfig
	mesh   *fakeMesh
	server *httptest.Server
	addr   netip.AddrPort
	stop   chan struct{}
}

func newFakeMesh(t *testing.T, list []fakeDaemonConfig) *fakeMesh {
	t.Helper()
	m := &fakeMesh{}
	for _, f := range list {
		d := &fakeDaemon{cfg: f, mesh: m, stop: make(chan struct{})}
		mux := http.NewServeMux()
		mux.Handle(wirev1connect.NewControlHandler(d))
		d.server = httptest.NewUnstartedServer(mux)
		d.server.Config.Protocols = new(http.Protocols)
		d.server.Config.Protocols.SetUnencryptedHTTP2(true)
		d.server.Start()
		d.addr = netip.MustParseAddrPort(d.server.Listener.Addr().String())
		t.Cleanup(func() { close(d.stop); d.server.Close() })
		if f.Down {
			d.server.Listener.Close() //nolint:errcheck,gosec // connections are refused from here on
		}
		m.daemons = append(m.daemons, d)
	}
	return m
}

// appendAndApply appends a record to the log and applies it to the state. The
// caller must hold mu.
func (m *fakeMesh) appendAndApply(data []byte) fold.Outcome {
	m.offset++
	return m.state.Apply(m.offset, data)
}

// blockIfSilent blocks requests to a silent daemon until ctx ends or the daemon
// stops.
func (d *fakeDaemon) blockIfSilent(ctx context.Context) error {
	if !d.cfg.Silent {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-d.stop:
	}
	return connect.NewError(connect.CodeUnavailable, errors.New("silent"))
}

func (d *fakeDaemon) Status(ctx context.Context, _ *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	if err := d.blockIfSilent(ctx); err != nil {
		return nil, err
	}
	d.mesh.mu.Lock()
	defer d.mesh.mu.Unlock()
	st := &d.mesh.state
	data, err := st.Encode()
	if err != nil {
		return nil, err
	}
	res := &wirev1.StatusResponse{
		Daemon: d.cfg.Name, Zone: "nl-west-a", Offset: st.Offset, Version: st.Version, StateHash: "ab12",
		Serving: true, LogReachable: true, State: data,
	}
	if d.cfg.Lagging {
		res.Offset, res.Version = 0, 0
	}
	if p, ok := st.InForce(time.Now()); ok {
		res.Preset = p.Name
	}
	for _, o := range d.mesh.daemons {
		state := "ready"
		if o.cfg.State != "" {
			state = o.cfg.State
		}
		res.Members = append(res.Members, &wirev1.Member{
			Name: o.cfg.Name, Region: "nl-west", Zone: "nl-west-a", PeerAddress: o.addr.String(),
			Service: "booking", Version: "1.4", State: state,
		})
	}
	for _, m := range st.Moves {
		res.Moves = append(res.Moves, &wirev1.MoveStatus{
			Move: m.ID, Upstream: m.Upstream, From: m.From, To: m.To, State: string(m.State), Reason: m.Reason,
			Share: 0.05, StartAtUnixNano: m.StartAt.UnixNano(), DoneByUnixNano: m.DoneBy.UnixNano(),
		})
	}
	for _, z := range st.Config.Zones {
		state := "inService"
		if st.Zones[z.Name].Out {
			state = "out"
		}
		res.Zones = append(res.Zones, &wirev1.ZoneStatus{Name: z.Name, Region: z.Region, State: state})
	}
	return connect.NewResponse(res), nil
}

func (d *fakeDaemon) Append(ctx context.Context, req *connect.Request[wirev1.AppendRequest]) (*connect.Response[wirev1.AppendResponse], error) {
	if err := d.blockIfSilent(ctx); err != nil {
		return nil, err
	}
	d.mesh.mu.Lock()
	defer d.mesh.mu.Unlock()
	data := req.Msg.Record
	d.mesh.appends = append(d.mesh.appends, string(data))
	if d.cfg.Pending > 0 {
		d.cfg.Pending--
		return connect.NewResponse(&wirev1.AppendResponse{Result: resultPending}), nil
	}
	out := d.mesh.appendAndApply(data)
	if out.Result == fold.Duplicate && !d.cfg.Duplicates {
		out, _ = d.mesh.state.Outcome(out.ID)
	}
	if d.cfg.LoseAnswers > 0 {
		d.cfg.LoseAnswers--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	}
	return connect.NewResponse(&wirev1.AppendResponse{
		Offset: out.Offset, Result: string(out.Result), Reason: out.Reason, Winner: out.Winner,
	}), nil
}

func (d *fakeDaemon) events(after int64) []*wirev1.Event {
	var list []*wirev1.Event
	for _, e := range d.cfg.Events {
		if e.At.UnixNano() > after {
			list = append(list, &wirev1.Event{
				Wall: e.At.UnixNano(), Daemon: d.cfg.Name, Zone: "nl-west-a", Kind: string(e.Kind), Detail: e.Detail,
			})
		}
	}
	return list
}

func (d *fakeDaemon) Timeline(ctx context.Context, req *connect.Request[wirev1.TimelineRequest]) (*connect.Response[wirev1.TimelineResponse], error) {
	if err := d.blockIfSilent(ctx); err != nil {
		return nil, err
	}
	list := d.events(req.Msg.AfterWall)
	return connect.NewResponse(&wirev1.TimelineResponse{Events: list[:min(len(list), int(req.Msg.Limit))]}), nil
}

func (d *fakeDaemon) Watch(ctx context.Context, req *connect.Request[wirev1.WatchRequest], s *connect.ServerStream[wirev1.WatchResponse]) error {
	after := req.Msg.AfterWall
	if after == 0 {
		after = time.Now().UnixNano()
	}
	for _, e := range d.events(after) {
		if err := s.Send(&wirev1.WatchResponse{Event: e}); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
	case <-d.stop:
	}
	return nil
}

// distinctRecords returns the number of distinct records in all appends.
func (m *fakeMesh) distinctRecords() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(slices.Compact(slices.Sorted(slices.Values(m.appends))))
}
