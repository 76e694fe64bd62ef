package control

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// orderOf returns the record of an order to move the upstream booking to a version.
func orderOf(t *testing.T, offset int64, version string) log.Entry {
	t.Helper()
	return entryOf(t, offset, record.Record{ID: "order-" + version + time.Duration(offset).String(), Kind: record.KindMove, Move: &record.Move{
		Upstream: "booking", To: version, Within: config.Duration(testWithin), Replaces: true,
	}})
}

// readLogTo delivers entries of the log that ends with them.
func readLogTo(c *core, now time.Time, entries ...log.Entry) (actions []any) {
	_, actions = c.handle(recordsArrived{entries: entries, first: 1, next: entries[len(entries)-1].Offset + 1, asked: now}, now, 0)
	return actions
}

// versionCore returns a core that serves, beside an instance of v1 and with two peers
// beside instances of v1 and v2 that started later.
func versionCore(t *testing.T, now time.Time) *core {
	t.Helper()
	c := platformCore("d1", "a")
	c.table.Update(func(m *membership.Member) { m.UpstreamIncarnation = 10 })
	old, next := testMember("d2", "b"), testMember("d3", "c")
	old.UpstreamIncarnation = 11
	next.UpstreamIncarnation, next.Version = 20, "v2"
	c.table.Merge(now, []membership.Member{old, next})
	readLogTo(c, now, entryOf(t, 1, record.Record{ID: "c", Kind: record.KindReplace, Replace: announcedConfig()}))
	if !c.serving {
		t.Fatal("the daemon is not serving")
	}
	c.snapshot()
	return c
}

func inForce(c *core) string { return c.snapshot().Table.InForce("booking") }

// run lets the control tick until the given time and stores its reports, which it
// returns.
func run(c *core, from, to time.Time) (reports []Report) {
	for now := from; now.Before(to); now = now.Add(100 * time.Millisecond) {
		_, actions := c.handle(tick{}, now, 0)
		for _, a := range find[reportMove](actions) {
			reports = append(reports, a.report)
			c.handle(moveReported(a), now, 0)
		}
	}
	return reports
}

// TestLateJoinerKnowsVersions guards against a daemon that starts when the log holds the
// newest order alone, or none, and takes another version for the one in force than the
// daemons that have followed all orders.
func TestLateJoinerKnowsVersions(t *testing.T) {
	for _, tt := range []struct {
		name   string
		orders []log.Entry
		report Report
		want   string
		out    []string
	}{
		{
			name: "two versions were taken back", orders: []log.Entry{orderOf(t, 4, "v4")},
			report: Report{
				Move: 3, Upstream: "booking", To: "v2", State: fold.MoveTakenBack, Versions: fold.Versions{Withdrawn: []string{"v3"}},
			},
			want: "v1", out: []string{"v2", "v3"},
		},
		{
			name: "the version in force was moved to long ago", orders: []log.Entry{orderOf(t, 4, "v4")},
			report: Report{
				Move: 4, Upstream: "booking", To: "v4", State: fold.MoveRunning, Versions: fold.Versions{Active: "v2", Since: 2},
			},
			want: "v2",
		},
		{
			name: "the newest order was replaced while it ran", orders: []log.Entry{orderOf(t, 4, "v4")},
			report: Report{Move: 3, Upstream: "booking", To: "v2", State: fold.MoveRunning},
			want:   "v1", out: []string{"v2"},
		},
		{
			name:   "the order is gone from the log",
			report: Report{Move: 3, Upstream: "booking", To: "v2", State: fold.MoveDone},
			want:   "v2",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			kept := []fold.RetainedRecord{{Offset: 1, Record: record.Record{ID: "c", Kind: record.KindReplace, Replace: announcedConfig()}}}
			c := platformCore("d1", "a")
			next := testMember("d2", "a")
			next.Version = "v2"
			c.table.Merge(epoch, []membership.Member{next})
			listing := listingOf(append(kept, retained(tt.orders...)...), 4)
			actions := readLogTo(c, epoch, listing)
			if c.serving || len(find[readReports](actions)) != 1 {
				t.Fatalf("got serving %t and actions %v, want a read of the reports first", c.serving, actions)
			}
			c.handle(reportsRead{[]Report{tt.report}}, epoch, 0)
			if got := inForce(c); !c.serving || got != tt.want {
				t.Errorf("got serving %t, version %q in force, want %q", c.serving, got, tt.want)
			}
			for _, version := range tt.out {
				if !c.state.IsWithdrawn("booking", version) {
					t.Errorf("got version %s not withdrawn, want it withdrawn", version)
				}
			}
		})
	}
}

// TestReportsOfSuccessiveOrders guards against an order whose end is never reported
// because another order follows within a second.
func TestReportsOfSuccessiveOrders(t *testing.T) {
	c := versionCore(t, epoch)
	now := epoch.Add(100 * time.Millisecond)
	readLogTo(c, now, orderOf(t, 2, "v2"))
	readLogTo(c, now, orderOf(t, 3, "v3"))
	readLogTo(c, now, orderOf(t, 4, "v4"))
	got := run(c, now, now.Add(5*time.Second))
	want := []Report{
		{Move: 2, To: "v2", State: fold.MoveTakenBack}, {Move: 3, To: "v3", State: fold.MoveTakenBack}, {Move: 4, To: "v4", State: fold.MoveRunning},
	}
	if !slices.EqualFunc(got, want, func(a, b Report) bool { return a.Move == b.Move && a.To == b.To && a.State == b.State }) {
		t.Errorf("got reports %+v, want %+v", got, want)
	}
	if got := inForce(c); got != "v1" {
		t.Errorf("got version %q in force, want v1", got)
	}
}

// TestEndAfterReplacement guards against a move whose end a daemon learns only after it
// has folded the next order: the instances of the version before have stopped.
func TestEndAfterReplacement(t *testing.T) {
	c := versionCore(t, epoch)
	readLogTo(c, epoch, orderOf(t, 2, "v2"))
	readLogTo(c, epoch, orderOf(t, 3, "v3"))
	peer := toWire(testMember("d2", "b"))
	c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: peer, Moves: []*wirev1.MoveProgress{{Move: 2, End: string(fold.MoveDone)}}}}, epoch, 0)
	if got := inForce(c); got != "v2" {
		t.Errorf("got version %q in force, want v2", got)
	}
	if m, ok := c.state.RunningMove(3); !ok || m.From != "v2" {
		t.Errorf("got running move %+v (%t), want one from v2", m, ok)
	}
}

// TestOrderToInitialVersion guards against refusing nearly all requests because an order
// names the version that runs, in an upstream of which no move was ever done.
func TestOrderToInitialVersion(t *testing.T) {
	c := versionCore(t, epoch)
	now := epoch.Add(2 * initialSettlePeriod)
	run(c, epoch, now)
	readLogTo(c, now, orderOf(t, 2, "v1"))
	if m, ok := c.state.RunningMove(2); ok {
		t.Errorf("got running move %+v, want it done", m)
	}
	if got := inForce(c); got != "v1" {
		t.Errorf("got version %q in force, want v1", got)
	}
	if got := run(c, now, now.Add(2*time.Second)); len(got) != 1 || got[0].State != fold.MoveDone {
		t.Errorf("got reports %+v, want one of the move that is done", got)
	}
}

// TestOrderToNewInitialVersion guards against a new version that receives all requests
// without a trial, because a daemon that has just started sees its instances first.
func TestOrderToNewInitialVersion(t *testing.T) {
	c := platformCore("d1", "a")
	c.table.Update(func(m *membership.Member) { m.Version = "v2" })
	readLogTo(c, epoch, entryOf(t, 1, record.Record{ID: "c", Kind: record.KindReplace, Replace: announcedConfig()}))
	c.snapshot()
	now := epoch.Add(initialSettlePeriod / 2)
	run(c, epoch, now)
	readLogTo(c, now, orderOf(t, 2, "v2"))
	if _, ok := c.state.RunningMove(2); !ok {
		t.Errorf("got moves %+v, want a running one", c.state.Moves)
	}
	if got := inForce(c); got != "" {
		t.Errorf("got version %q in force, want none", got)
	}
}

// TestOrderToOnlyVersion guards against refusing most requests for the whole time of a
// move to the only version that runs, because it was ordered soon after its instances had
// started.
func TestOrderToOnlyVersion(t *testing.T) {
	c := platformCore("d1", "a")
	c.table.Merge(epoch, []membership.Member{testMember("d2", "b")})
	readLogTo(c, epoch, entryOf(t, 1, record.Record{ID: "c", Kind: record.KindReplace, Replace: announcedConfig()}))
	c.snapshot()
	ordered := epoch.Add(initialSettlePeriod - time.Second)
	run(c, epoch, ordered)
	readLogTo(c, ordered, orderOf(t, 2, "v1"))
	c.snapshot()
	settled := epoch.Add(initialSettlePeriod + time.Second)
	run(c, ordered, settled)
	if m, ok := c.state.RunningMove(2); ok {
		t.Errorf("got running move %+v, want it done", m)
	}
	if got := inForce(c); got != "v1" {
		t.Errorf("got version %q in force, want v1", got)
	}
}
