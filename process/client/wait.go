package client

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"golang.org/x/sync/errgroup"
)

// waitInitialInterval and waitMaxInterval bound the pause between two rounds of
// requests to lagging daemons. The pause doubles after each round, because each
// round also fetches the member list, a response that carries the whole state.
const (
	waitInitialInterval = 50 * time.Millisecond
	waitMaxInterval     = time.Second
)

// waitResult is the result of waiting for all daemons to hold a version.
type waitResult struct {
	Daemons int             `json:"daemons"`
	Seconds float64         `json:"seconds"`
	Lagging []laggingDaemon `json:"lagging,omitempty"`
	// Gone lists the daemons that left the mesh during the wait.
	Gone []daemonEntry `json:"gone,omitempty"`
}

// daemonEntry identifies a daemon, with the error of the last request to it.
type daemonEntry struct {
	Daemon  string `json:"daemon"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
}

// laggingDaemon is a daemon that does not hold the version yet.
type laggingDaemon struct {
	daemonEntry
	Offset int64 `json:"offset"`
}

func (w *waitResult) writeText(p *printer, version int64) {
	for _, l := range w.Gone {
		p.line("%s (%s, %s) has left or is dead", l.Daemon, l.Zone, l.Address)
	}
	if len(w.Lagging) == 0 {
		p.line("version %d is in force on %s (all) after %.2f s", version, pluralize(w.Daemons, "daemon"), w.Seconds)
		return
	}
	p.line("version %d is in force on %d of %s after %.2f s; these lag:",
		version, w.Daemons-len(w.Lagging), pluralize(w.Daemons, "daemon"), w.Seconds)
	rows := [][]string{{"DAEMON", "ZONE", "ADDRESS", "OFFSET", "ERROR"}}
	for _, l := range w.Lagging {
		offset := decimal(l.Offset)
		if l.Error != "" {
			offset = "-"
		}
		rows = append(rows, []string{l.Daemon, l.Zone, l.Address, offset, l.Error})
	}
	p.table(rows)
}

// liveDaemons returns the daemons that a status lists, without those that are
// leaving or dead.
func liveDaemons(res *wirev1.StatusResponse) []*wirev1.Member {
	return slices.DeleteFunc(slices.Clone(res.Members), func(m *wirev1.Member) bool {
		return m.PeerAddress == "" || m.State == string(membership.Dead) || m.State == string(membership.Leaving)
	})
}

// waitForVersion polls all daemons until each reports an offset at or above
// version, or until ctx is done.
func (a *app) waitForVersion(ctx context.Context, version int64, start time.Time) (*waitResult, error) {
	res, first, err := a.status(ctx)
	if err != nil {
		return nil, err
	}
	pending := make(map[string]*laggingDaemon)
	for _, m := range liveDaemons(res) {
		pending[m.PeerAddress] = &laggingDaemon{daemonEntry: daemonEntry{Daemon: m.Name, Zone: m.Zone, Address: m.PeerAddress}}
	}
	pending[first.addr.String()] = &laggingDaemon{daemonEntry: daemonEntry{Daemon: res.Daemon, Zone: res.Zone, Address: first.addr.String()}}
	w := &waitResult{Daemons: len(pending)}
	connections := make(map[string]*daemon)
	defer func() {
		for _, d := range connections {
			d.close()
		}
	}()
	for pause := waitInitialInterval; ; pause = min(2*pause, waitMaxInterval) {
		var mu sync.Mutex
		var g errgroup.Group
		g.SetLimit(maxConcurrentRequests)
		for _, l := range sortedEntries(pending) {
			d, ok := connections[l.Address]
			if !ok {
				addr, err := netip.ParseAddrPort(l.Address)
				if err != nil {
					l.Error = err.Error()
					continue
				}
				d = newDaemon(addr)
				connections[l.Address] = d
			}
			g.Go(func() error {
				res, err := d.status(ctx, true)
				if err != nil {
					// Keep the earlier error if ctx ended the request.
					if ctx.Err() == nil || l.Error == "" {
						l.Error = err.Error()
					}
					return nil
				}
				l.Offset, l.Error = res.Offset, ""
				if res.Offset >= version {
					mu.Lock()
					defer mu.Unlock()
					delete(pending, l.Address)
				}
				return nil
			})
		}
		_ = g.Wait()
		w.Seconds = time.Since(start).Seconds()
		if len(pending) == 0 {
			return w, nil
		}
		select {
		case <-ctx.Done():
			for _, l := range sortedEntries(pending) {
				w.Lagging = append(w.Lagging, *l)
			}
			return w, nil
		case <-time.After(pause):
		}
		w.dropGone(ctx, a, pending)
	}
}

// dropGone moves the pending daemons that are leaving, dead or no longer listed
// as members to Gone.
func (w *waitResult) dropGone(ctx context.Context, a *app, pending map[string]*laggingDaemon) {
	res, first, err := a.status(ctx)
	if err != nil {
		return
	}
	listed := map[string]bool{first.addr.String(): true}
	for _, m := range liveDaemons(res) {
		listed[m.PeerAddress] = true
	}
	for _, l := range sortedEntries(pending) {
		if !listed[l.Address] {
			delete(pending, l.Address)
			w.Gone = append(w.Gone, l.daemonEntry)
			w.Daemons--
		}
	}
}

func sortedEntries(m map[string]*laggingDaemon) []*laggingDaemon {
	list := make([]*laggingDaemon, 0, len(m))
	for _, l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *laggingDaemon) int {
		return strings.Compare(a.Daemon+" "+a.Address, b.Daemon+" "+b.Address)
	})
	return list
}
