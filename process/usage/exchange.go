package usage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/peer"
	"github.com/rotisserie/eris"
)

const (
	// maxMessage bounds a message and a reply, in bytes: the windows of a minute with 4,096
	// tenants each.
	maxMessage = 4 << 20
	// peerIdle is the idle time after which a connection for counts is closed.
	peerIdle = 15 * time.Second
)

// Message carries the counts of a host to a daemon that collects them.
type Message struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// Seq numbers the changes of the counts.
	Seq uint64 `json:"seq"`
	// Clock is the sender's own clock, in Unix nanoseconds. Receivers use it only to
	// estimate the true time from many clocks.
	Clock   int64          `json:"clock"`
	Windows []WindowCounts `json:"windows,omitempty"`
	// Token and Reports are set by the holder: its token and what has been reported.
	Token   int64    `json:"token,omitempty"`
	Reports *Reports `json:"reports,omitempty"`
	// Hosts is sent once to a new holder: the counts of other hosts that the sender has
	// collected.
	Hosts []HostTotals `json:"hosts,omitempty"`
	// Released means that the sender has given the lease back.
	Released bool `json:"released,omitempty"`
	// Probe asks whether the receiver reaches the usage service.
	Probe bool `json:"probe,omitempty"`
}

// Reply is the answer to a Message.
type Reply struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Clock is the receiver's own clock, and Estimate what it takes for the true time, from
	// a number of Clocks.
	Clock    int64 `json:"clock"`
	Estimate int64 `json:"estimate"`
	Clocks   int   `json:"clocks"`
	// Holder and Token are the holder of the lease as far as the receiver knows.
	Holder string `json:"holder,omitempty"`
	Token  int64  `json:"token,omitempty"`
	// Reaches answers a probe.
	Reaches bool `json:"reaches,omitempty"`
}

// Peers sends messages to other daemons.
type Peers interface {
	Exchange(ctx context.Context, addr netip.AddrPort, m Message) (Reply, error)
	Close()
}

// httpPeers implements Peers over HTTP on the peer addresses.
type httpPeers struct{ pool peer.Pool }

func newHTTPPeers(traffic func(read, written int)) *httpPeers {
	return &httpPeers{peer.Pool{DisablePings: true, IdleTimeout: peerIdle, Traffic: traffic}}
}

// Exchange implements Peers.
func (p *httpPeers) Exchange(ctx context.Context, addr netip.AddrPort, m Message) (reply Reply, err error) {
	defer func() { err = eris.Wrapf(err, "send counts to %v", addr) }()
	body, err := json.Marshal(m)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+Path, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	res, err := p.pool.Client(addr).Do(req)
	if err != nil {
		p.pool.Retire(addr)
		return reply, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("status %d", res.StatusCode)
	}
	return reply, json.NewDecoder(io.LimitReader(res.Body, maxMessage)).Decode(&reply)
}

// Close implements Peers.
func (p *httpPeers) Close() { p.pool.Close() }

// ServeHTTP takes the counts of another daemon.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m Message
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&m); err != nil || m.From == "" {
		a.metrics.Add("usage.malformedCounts", 1)
		http.Error(w, "malformed counts", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.receive(r.Context(), m))
}
