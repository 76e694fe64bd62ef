package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
	"github.com/rotisserie/eris"
)

const (
	// dialLimit bounds the time to connect to a daemon, so that an address
	// that drops packets does not use up the timeout of the command.
	dialLimit = time.Second
	// attemptLimit bounds one request. After it the next daemon is tried.
	attemptLimit = 3 * time.Second
	// answerMargin is the time that a daemon's answer may take on the way.
	answerMargin = 500 * time.Millisecond
	// pingInterval and pingLimit find connections that went silent.
	pingInterval = time.Second
	pingLimit    = 2 * time.Second
	// maxParallel bounds the daemons that are asked at the same time.
	maxParallel = 16
)

// daemon is a connection to the service Control of one daemon.
type daemon struct {
	addr      netip.AddrPort
	transport *http.Transport
	control   wirev1connect.ControlClient
}

func newDaemon(addr netip.AddrPort) *daemon {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols:   &protocols,
		DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingLimit},
	}
	return &daemon{
		addr:      addr,
		transport: t,
		control:   wirev1connect.NewControlClient(&http.Client{Transport: t}, "http://"+addr.String()),
	}
}

func (d *daemon) close() { d.transport.CloseIdleConnections() }

// status asks one daemon; withoutState leaves out the folded state, which is
// large where there are many services.
func (d *daemon) status(ctx context.Context, withoutState bool) (res *wirev1.StatusResponse, err error) {
	defer func() { err = eris.Wrapf(err, "status of %v", d.addr) }()
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	ans, err := d.control.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{WithoutState: withoutState}))
	if err != nil {
		return nil, err
	}
	return ans.Msg, nil
}

// order returns the daemons in the order in which they are tried: the one that
// answered last comes first, so that one that is silent costs its time once.
func (a *app) order() []*daemon {
	list := slices.Clone(a.daemons)
	if i := slices.Index(list, a.answered.Load()); i > 0 {
		d := list[i]
		copy(list[1:i+1], list[:i])
		list[0] = d
	}
	return list
}

// status asks the daemons in order and returns the first answer.
func (a *app) status(ctx context.Context) (*wirev1.StatusResponse, *daemon, error) {
	var errs []error
	for _, d := range a.order() {
		res, err := d.status(ctx, false)
		if err == nil {
			a.answered.Store(d)
			return res, d, nil
		}
		errs = append(errs, err)
	}
	return nil, nil, exitf(ExitUnreachable, "no daemon reachable: %w", errors.Join(errs...))
}

// state returns the folded state of the first daemon that answers.
func (a *app) state(ctx context.Context) (*fold.State, *wirev1.StatusResponse, error) {
	res, d, err := a.status(ctx)
	if err != nil {
		return nil, nil, err
	}
	if len(res.State) == 0 {
		return new(fold.State), res, nil
	}
	st, err := fold.DecodeState(res.State)
	if err != nil {
		return nil, nil, fmt.Errorf("daemon %v: %w", d.addr, err)
	}
	return st, res, nil
}

// notSent reports whether err shows that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
