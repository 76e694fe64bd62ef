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
	// dialTimeout keeps an address that drops packets from using up the
	// timeout of the command.
	dialTimeout = time.Second
	// attemptTimeout bounds one request. After it expires, the next daemon is
	// tried.
	attemptTimeout = 3 * time.Second
	// responseMargin is the part of attemptTimeout that is reserved for the
	// response to arrive.
	responseMargin = 500 * time.Millisecond
	// pingInterval and pingTimeout configure the HTTP/2 health check, which
	// detects dead connections.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
	// maxConcurrentRequests bounds the daemons that are queried concurrently.
	maxConcurrentRequests = 16
)

// daemon is a client of the service Control of one daemon.
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
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &daemon{
		addr:      addr,
		transport: t,
		control:   wirev1connect.NewControlClient(&http.Client{Transport: t}, "http://"+addr.String()),
	}
}

func (d *daemon) close() { d.transport.CloseIdleConnections() }

// status requests the status of one daemon. With withoutState, the response
// omits the configuration state, which is large if there are many services.
func (d *daemon) status(ctx context.Context, withoutState bool) (res *wirev1.StatusResponse, err error) {
	defer func() { err = eris.Wrapf(err, "status of %v", d.addr) }()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := d.control.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{WithoutState: withoutState}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// tryOrder returns the daemons in the order in which they are tried. The daemon
// that last answered comes first, so that the command waits for the timeout of
// an unresponsive daemon only once.
func (a *app) tryOrder() []*daemon {
	list := slices.Clone(a.daemons)
	if i := slices.Index(list, a.lastAnswered.Load()); i > 0 {
		d := list[i]
		copy(list[1:i+1], list[:i])
		list[0] = d
	}
	return list
}

// status requests the status of the daemons in order and returns the first
// response.
func (a *app) status(ctx context.Context) (*wirev1.StatusResponse, *daemon, error) {
	var errs []error
	for _, d := range a.tryOrder() {
		res, err := d.status(ctx, false)
		if err == nil {
			a.lastAnswered.Store(d)
			return res, d, nil
		}
		errs = append(errs, err)
	}
	return nil, nil, exitf(ExitUnreachable, "no daemon reachable: %w", errors.Join(errs...))
}

// state returns the configuration state of the first daemon that answers.
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
