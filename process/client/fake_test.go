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

// daemonFaults says how one fake daemon misbehaves.
type daemonFaults struct {
	Name string `json:"name"`
	// Down daemons refuse connections.
	Down bool `json:"down"`
	// Silent daemons take requests and never answer.
	Silent bool `json:"silent"`
	// Lagging daemons stay at offset 0.
	Lagging bool `json:"lagging"`
	// LoseAnswers is the number of appends that take effect and whose answer
	// is lost.
	LoseAnswers int `json:"loseAnswers"`
	// Pending is the number of appends that answer pending before the record
	// is folded.
	Pending int `json:"pending"`
	// Duplicates makes the daemon answer a repeated id with duplicate.
	Duplicates bool `json:"duplicates"`
	// State is the state of the member, ready by default.
	State string `json:"state"`
	// Events are the events that the daemon holds.
	Events []fakeEvent `json:"events"`
}

type fakeEvent struct {
	At     time.Time     `json:"at"`
	Kind   timeline.Kind `json:"kind"`
	Detail string        `json:"detail"`
}

// mesh is a set of fake daemons that fold one log.
type mesh struct {
	mu      sync.Mutex
	state   fold.State
	daemons []*fakeDaemon
	// appends holds the records of all calls of Append.
	appends []string
	// offset is that of the last record on the log.
	offset int64
}

// fakeDaemon is one daemon of a mesh.
type fakeDaemon struct {
	wirev1connect.UnimplementedControlHandler
	faults daemonFaults
	mesh   *mesh
	server *httptest.Server
	addr   netip.AddrPort
	stop   chan struct{}
}

func newMesh(t *testing.T, list []daemonFaults) *mesh {
	t.Helper()
	m := &mesh{}
	for _, f := range list {
		d := &fakeDaemon{faults: f, mesh: m, stop: make(chan struct{})}
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

// fold appends a record to the log and folds it. The caller holds mu.
func (m *mesh) fold(data []byte) fold.Outcome {
	m.offset++
	return m.state.Apply(m.offset, data)
}

func (d *fakeDaemon) wait(ctx context.Context) error {
	if !d.faults.Silent {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-d.stop:
	}
	return connect.NewError(connect.CodeUnavailable, errors.New("silent"))
}

func (d *fakeDaemon) Status(ctx context.Context, _ *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	if err := d.wait(ctx); err != nil {
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
		Daemon: d.faults.Name, Zone: "nl-west-a", Offset: st.Offset, Version: st.Version, StateHash: "ab12",
		Serving: true, LogReachable: true, State: data,
	}
	if d.faults.Lagging {
		res.Offset, res.Version = 0, 0
	}
	if p, ok := st.InForce(time.Now()); ok {
		res.Preset = p.Name
	}
	for _, o := range d.mesh.daemons {
		state := "ready"
		if o.faults.State != "" {
			state = o.faults.State
		}
		res.Members = append(res.Members, &wirev1.Member{
			Name: o.faults.Name, Region: "nl-west", Zone: "nl-west-a", PeerAddress: o.addr.String(),
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
	if err := d.wait(ctx); err != nil {
		return nil, err
	}
	d.mesh.mu.Lock()
	defer d.mesh.mu.Unlock()
	data := req.Msg.Record
	d.mesh.appends = append(d.mesh.appends, string(data))
	if d.faults.Pending > 0 {
		d.faults.Pending--
		return connect.NewResponse(&wirev1.AppendResponse{Result: resultPending}), nil
	}
	out := d.mesh.fold(data)
	if out.Result == fold.Duplicate && !d.faults.Duplicates {
		out, _ = d.mesh.state.Outcome(out.ID)
	}
	if d.faults.LoseAnswers > 0 {
		d.faults.LoseAnswers--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	}
	return connect.NewResponse(&wirev1.AppendResponse{
		Offset: out.Offset, Result: string(out.Result), Reason: out.Reason, Winner: out.Winner,
	}), nil
}

func (d *fakeDaemon) events(after int64) []*wirev1.Event {
	var list []*wirev1.Event
	for _, e := range d.faults.Events {
		if e.At.UnixNano() > after {
			list = append(list, &wirev1.Event{
				Wall: e.At.UnixNano(), Daemon: d.faults.Name, Zone: "nl-west-a", Kind: string(e.Kind), Detail: e.Detail,
			})
		}
	}
	return list
}

func (d *fakeDaemon) Timeline(ctx context.Context, req *connect.Request[wirev1.TimelineRequest]) (*connect.Response[wirev1.TimelineResponse], error) {
	if err := d.wait(ctx); err != nil {
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

// ids returns the distinct records of all appends.
func (m *mesh) distinct() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(slices.Compact(slices.Sorted(slices.Values(m.appends))))
}
