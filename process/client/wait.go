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

// waitFirst and waitMost bound the pause between two rounds of questions to
// daemons that lag. It grows, because each answer carries the whole state.
const (
	waitFirst = 50 * time.Millisecond
	waitMost  = time.Second
)

// waitResult says which daemons hold a version.
type waitResult struct {
	Daemons int        `json:"daemons"`
	Seconds float64    `json:"seconds"`
	Lagging []lagEntry `json:"lagging,omitempty"`
	// Gone lists the daemons that left the mesh during the wait.
	Gone []daemonEntry `json:"gone,omitempty"`
}

// daemonEntry names a daemon, with the error of the last question to it.
type daemonEntry struct {
	Daemon  string `json:"daemon"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
}

// lagEntry is a daemon that does not hold the version yet.
type lagEntry struct {
	daemonEntry
	Offset int64 `json:"offset"`
}

func (w *waitResult) text(p *printer, version int64) {
	for _, l := range w.Gone {
		p.line("%s (%s, %s) has left or is dead", l.Daemon, l.Zone, l.Address)
	}
	if len(w.Lagging) == 0 {
		p.line("version %d is in force on %s (all) after %.2f s", version, count(w.Daemons, "daemon"), w.Seconds)
		return
	}
	p.line("version %d is in force on %d of %s after %.2f s; these lag:",
		version, w.Daemons-len(w.Lagging), count(w.Daemons, "daemon"), w.Seconds)
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

// memberDaemons returns the daemons that a status lists, without those that
// have left or are dead.
func memberDaemons(res *wirev1.StatusResponse) []*wirev1.Member {
	return slices.DeleteFunc(slices.Clone(res.Members), func(m *wirev1.Member) bool {
		return m.PeerAddress == "" || m.State == string(membership.Dead) || m.State == string(membership.Leaving)
	})
}

// waitForVersion asks all members until each reports an offset at or above
// version, or until ctx ends.
func (a *app) waitForVersion(ctx context.Context, version int64, start time.Time) (*waitResult, error) {
	res, first, err := a.status(ctx)
	if err != nil {
		return nil, err
	}
	pending := make(map[string]*lagEntry)
	for _, m := range memberDaemons(res) {
		pending[m.PeerAddress] = &lagEntry{daemonEntry: daemonEntry{Daemon: m.Name, Zone: m.Zone, Address: m.PeerAddress}}
	}
	pending[first.addr.String()] = &lagEntry{daemonEntry: daemonEntry{Daemon: res.Daemon, Zone: res.Zone, Address: first.addr.String()}}
	w := &waitResult{Daemons: len(pending)}
	connections := make(map[string]*daemon)
	defer func() {
		for _, d := range connections {
			d.close()
		}
	}()
	for pause := waitFirst; ; pause = min(2*pause, waitMost) {
		var mu sync.Mutex
		var g errgroup.Group
		g.SetLimit(maxParallel)
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
					// An answer cut off by the end of the wait says nothing new.
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

// dropGone removes the daemons that the members no longer include.
func (w *waitResult) dropGone(ctx context.Context, a *app, pending map[string]*lagEntry) {
	res, first, err := a.status(ctx)
	if err != nil {
		return
	}
	listed := map[string]bool{first.addr.String(): true}
	for _, m := range memberDaemons(res) {
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

func sortedEntries(m map[string]*lagEntry) []*lagEntry {
	list := make([]*lagEntry, 0, len(m))
	for _, l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *lagEntry) int {
		return strings.Compare(a.Daemon+" "+a.Address, b.Daemon+" "+b.Address)
	})
	return list
}
