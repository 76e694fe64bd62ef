package control

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/timeline"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
)

const (
	// maxTimeline bounds the events in one response.
	maxTimeline = timeline.Capacity
	// appendTimeout bounds the wait for the outcome of a record if the request has
	// no deadline.
	appendTimeout = 5 * time.Second
	// appendRetryDelay is the pause before an append is retried.
	appendRetryDelay = 100 * time.Millisecond
)

// service implements the connect-go service of a control.
type service struct {
	wirev1connect.UnimplementedControlHandler
	*control
}

// Handler implements Control.
func (c *control) Handler() (string, http.Handler) {
	return wirev1connect.NewControlHandler(&service{control: c}, connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(compressFrom))
}

// Exchange implements wirev1connect.ControlHandler.
func (s *service) Exchange(_ context.Context, req *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeResponse], error) {
	s.observe(req.Msg.GetClockUnixNano())
	res, err := ask[*wirev1.ExchangeResponse](s.control, exchangeReceived{req.Msg})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res.ClockUnixNano = s.clock()
	return connect.NewResponse(res), nil
}

// Push implements wirev1connect.ControlHandler.
func (s *service) Push(_ context.Context, req *connect.Request[wirev1.PushRequest]) (*connect.Response[wirev1.PushResponse], error) {
	s.observe(req.Msg.GetClockUnixNano())
	offset, err := ask[int64](s.control, recordsArrived{entries: entriesFromWire(req.Msg.GetRecords()), source: req.Msg.GetFrom(), logEnd: req.Msg.GetLogEnd()})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wirev1.PushResponse{Offset: offset}), nil
}

// Fetch implements wirev1connect.ControlHandler.
func (s *service) Fetch(_ context.Context, req *connect.Request[wirev1.FetchRequest]) (*connect.Response[wirev1.FetchResponse], error) {
	select {
	case s.fetchSem <- struct{}{}:
		defer func() { <-s.fetchSem }()
	default:
		s.metrics.Add("control.refusedFetches", 1)
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many concurrent fetches; retry later"))
	}
	res, err := ask[*wirev1.FetchResponse](s.control, fetchReceived{req.Msg})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(res), nil
}

// Probe implements wirev1connect.ControlHandler.
func (s *service) Probe(ctx context.Context, req *connect.Request[wirev1.ProbeRequest]) (*connect.Response[wirev1.ProbeResponse], error) {
	addr, err := netip.ParseAddrPort(req.Msg.GetPeerAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, req.Msg.GetDeadlineUnixNano()))
	defer cancel()
	v := s.view.Load()
	_, err = s.client(addr).Exchange(ctx, connect.NewRequest(&wirev1.ExchangeRequest{From: toWire(v.Self), Offset: v.State.Offset, Carried: v.State.Carried}))
	return connect.NewResponse(&wirev1.ProbeResponse{Alive: err == nil}), nil
}

// Status implements wirev1connect.ControlHandler.
func (s *service) Status(_ context.Context, req *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	res, err := ask[*wirev1.StatusResponse](s.control, statusRequested{withoutState: req.Msg.GetWithoutState()})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if text := s.warning(); text != "" {
		if res.Warning != "" {
			text = res.Warning + "; " + text
		}
		res.Warning = text
	}
	return connect.NewResponse(res), nil
}

// status reports the control state to operators.
func (c *core) status(now time.Time, withoutState bool) *wirev1.StatusResponse {
	self := c.table.Self()
	res := &wirev1.StatusResponse{
		Daemon: self.Name, Zone: self.Zone, Offset: c.state.Offset, Version: c.state.Version,
		Serving: c.serving, LogReachable: c.logReachable,
		Members: membersToWire(c.table.All()),
	}
	if p, ok := c.state.InForce(now); ok {
		res.Preset = p.Name
	}
	if c.state.Newer > 0 {
		res.Warning = strconv.FormatInt(c.state.Newer, 10) + " records of a newer release were skipped; upgrade this daemon"
	}
	if len(c.state.Remarks) > 0 {
		res.Warning = strings.TrimPrefix(res.GetWarning()+"; "+remarksText(c.state), "; ")
	}
	for _, m := range c.state.Moves {
		res.Moves = append(res.Moves, c.moveStatus(m, now))
	}
	for _, z := range c.state.Config.Zones {
		res.Zones = append(res.Zones, &wirev1.ZoneStatus{Name: z.Name, Region: z.Region, State: zoneState(c.state.Zones[z.Name], now)})
	}
	if withoutState {
		return res
	}
	if data := c.encodedState(); data != nil {
		res.State, res.StateHash = data, strconv.FormatUint(fold.HashOf(data), 16)
	}
	return res
}

// remarksText describes what of the configuration is not in force as it was written.
func remarksText(st *fold.State) string {
	return "the configuration is not in force as it was written: " + strings.Join(st.Remarks, "; ")
}

// moveStatus reports a move with a verdict as taken back even before the verdict is
// folded, which an outage of the log can delay.
func (c *core) moveStatus(m fold.Move, now time.Time) *wirev1.MoveStatus {
	if v, ok := c.decisions.verdicts[m.ID]; ok && m.State == fold.MoveRunning {
		m.State, m.Reason = fold.MoveTakenBack, v.Reason
	}
	return &wirev1.MoveStatus{
		Move: m.ID, Upstream: m.Upstream, From: m.From, To: m.To, State: string(m.State), Reason: m.Reason,
		Share: c.decisions.share(c.state, m, now), StartAtUnixNano: m.StartAt.UnixNano(), DoneByUnixNano: m.DoneBy.UnixNano(),
	}
}

func zoneState(z fold.Zone, now time.Time) string {
	switch {
	case z.Out:
		return "out"
	case now.Before(z.RampUntil):
		return "returning"
	}
	return "inService"
}

// Append implements wirev1connect.ControlHandler. It appends the record under its
// own id until the record is folded, so a lost response of the log does no harm.
func (s *service) Append(ctx context.Context, req *connect.Request[wirev1.AppendRequest]) (*connect.Response[wirev1.AppendResponse], error) {
	rec, err := record.Decode(req.Msg.GetRecord())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if rec.Kind == record.KindSnapshot {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("snapshots cannot be appended by operators"))
	}
	deadline := time.Now().Add(appendTimeout)
	if n := req.Msg.GetDeadlineUnixNano(); n > 0 {
		deadline = time.Unix(0, n)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	out, err := s.appendUntilFolded(ctx, rec.ID, req.Msg.GetRecord())
	if err != nil {
		return connect.NewResponse(&wirev1.AppendResponse{Result: "pending", Reason: err.Error()}), nil
	}
	return connect.NewResponse(&wirev1.AppendResponse{
		Offset: out.Offset, Result: string(out.Result), Reason: out.Reason, Winner: out.Winner,
	}), nil
}

func (s *service) appendUntilFolded(ctx context.Context, id string, data []byte) (fold.Outcome, error) {
	for {
		if err := s.catchUp(ctx); err != nil {
			return fold.Outcome{}, err
		}
		if out, ok := s.view.Load().State.Outcome(id); ok {
			return out, nil
		}
		offset, err := s.log.Append(ctx, record.Stream, data)
		switch {
		case err == nil:
			s.send(recordsArrived{entries: []log.Entry{{Offset: offset, Data: data}}})
			return s.awaitOutcome(ctx, id)
		case !errors.Is(err, log.ErrUnknown) && !errors.Is(err, log.ErrUnavailable):
			return fold.Outcome{}, err
		}
		s.metrics.Add("control.appendRetries", 1)
		select {
		case <-ctx.Done():
			return fold.Outcome{}, err
		case <-time.After(appendRetryDelay):
		}
	}
}

// catchUp reads to the end of the log, so that a record appended earlier is found
// by its id.
func (s *service) catchUp(ctx context.Context) error {
	for {
		from := s.view.Load().State.Offset + 1
		asked := time.Now()
		page, err := s.log.Read(ctx, record.Stream, from, asked)
		if err == nil && page.Next <= from {
			return nil
		}
		if err == nil {
			if _, err = ask[int64](s.control, recordsArrived{entries: page.Records, next: page.Next, first: page.First, asked: asked}); err == nil {
				continue
			}
		}
		if errors.Is(err, log.ErrExpired) {
			s.run(readLog{})
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(appendRetryDelay):
		}
	}
}

func (s *service) awaitOutcome(ctx context.Context, id string) (fold.Outcome, error) {
	for {
		changed := s.viewChanged.wait()
		if out, ok := s.view.Load().State.Outcome(id); ok {
			return out, nil
		}
		s.run(readLog{})
		select {
		case <-ctx.Done():
			return fold.Outcome{}, errors.New("the record is on the log and not folded yet")
		case <-changed:
		case <-time.After(appendRetryDelay):
		}
	}
}

// Watch implements wirev1connect.ControlHandler.
func (s *service) Watch(ctx context.Context, req *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.WatchResponse]) error {
	after := timeline.Time{Wall: time.Unix(0, req.Msg.GetAfterWall())}
	if req.Msg.GetAfterWall() == 0 {
		after.Wall = time.Now()
	}
	for {
		events, changed := s.events.Since(after)
		for _, e := range events {
			if err := stream.Send(&wirev1.WatchResponse{Event: eventToWire(e)}); err != nil {
				return err
			}
			after = e.Time
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.ctx.Done():
			return connect.NewError(connect.CodeUnavailable, errors.New("the daemon is stopping"))
		case <-changed:
		}
	}
}

// Timeline implements wirev1connect.ControlHandler.
func (s *service) Timeline(_ context.Context, req *connect.Request[wirev1.TimelineRequest]) (*connect.Response[wirev1.TimelineResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit <= 0 || limit > maxTimeline {
		limit = maxTimeline
	}
	after := time.Time{}
	if n := req.Msg.GetAfterWall(); n > 0 {
		after = time.Unix(0, n)
	}
	res := &wirev1.TimelineResponse{}
	for _, e := range s.events.Events(after, limit) {
		res.Events = append(res.Events, eventToWire(e))
	}
	return connect.NewResponse(res), nil
}

func eventToWire(e timeline.Event) *wirev1.Event {
	return &wirev1.Event{
		Wall: e.Time.Wall.UnixNano(), Logical: e.Time.Logical, Daemon: e.Daemon, Zone: e.Zone,
		Kind: string(e.Kind), Detail: e.Detail, Version: e.Version,
	}
}
