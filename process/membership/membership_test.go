package membership

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testSeed makes rapid generate the same cases in every run.
const testSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(testSeed)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func member(name, zone, service string) Member {
	return Member{
		Name: name, Region: "r", Zone: zone, Service: service, Version: "v1", State: Ready, Incarnation: 1, Seq: 1,
		Peer: netip.MustParseAddrPort("127.0.0.1:1"), Caller: netip.MustParseAddrPort("127.0.0.1:2"),
	}
}

// history returns all successive entries of a member, ending with its departure.
func history(rnd *rand.Rand, name string) []Member {
	states := []State{Starting, Ready, Draining, Ready, Leaving}
	var list []Member
	m := member(name, "z", "s")
	for i := range 4 + rnd.IntN(8) {
		m.Seq++
		m.State = states[rnd.IntN(4)]
		if rnd.IntN(5) == 0 {
			m.Incarnation++
		}
		list = append(list, m)
		if rnd.IntN(3) == 0 {
			s := m
			s.State = Suspect
			list = append(list, s)
		}
		if i%4 == 3 {
			d := m
			d.State = Dead
			list = append(list, d)
			m.Incarnation++
		}
	}
	m.Seq++
	m.State = Leaving
	return append(list, m)
}

// TestMergeOrder guards against members that come back, or whose departure is
// missed, because messages about them were reordered, repeated or delayed. The
// naive table keeps the entry that arrived last.
func TestMergeOrder(t *testing.T) {
	naiveWrong, cases := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		var all []Member
		want := make(map[string]Member)
		for i := range 5 {
			h := history(rnd, fmt.Sprint("m", i))
			all = append(all, h...)
			want[h[0].Name] = h[len(h)-1]
		}
		all = append(all, all...)
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		tbl := NewTable(member("self", "z", "s"))
		naive := make(map[string]Member)
		for len(all) > 0 {
			n := 1 + rnd.IntN(len(all))
			tbl.Merge(epoch, all[:n])
			for _, m := range all[:n] {
				naive[m.Name] = m
			}
			all = all[n:]
		}
		for name, w := range want {
			if got, _ := tbl.Get(name); got != w {
				rt.Fatalf("member %s: got %+v, want %+v", name, got, w)
			}
			cases++
			if naive[name] != w {
				naiveWrong++
			}
		}
	})
	t.Logf("members with a wrong last state: naive %d of %d, own 0", naiveWrong, cases)
	if naiveWrong == 0 {
		t.Error("naive table: got no wrong state, want at least one")
	}
}

// TestExchangeConverges guards against tables that remain different although their
// digests were exchanged.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 4))
		zones := []string{"a", "b", "c"}
		var tables []*Table
		for i := range 12 {
			self := member(fmt.Sprint("d", i), zones[i%3], fmt.Sprint("s", i%2))
			tables = append(tables, NewTable(self, "s0", "s1"))
		}
		for i, tbl := range tables[1:] {
			tbl.Merge(epoch, []Member{tables[i].Self()})
		}
		rounds := 0
		for ; rounds < 12 && !converged(tables); rounds++ {
			for _, tbl := range tables {
				if m, ok := tbl.Next(rnd.Float64()); ok {
					exchange(tbl, tables[indexOf(tables, m.Name)])
				}
			}
		}
		if !converged(tables) {
			rt.Fatalf("after %d rounds of 12 daemons: got different tables, want equal tables", rounds)
		}
	})
}

func exchange(a, b *Table) {
	asked := a.Digests()
	b.Merge(epoch, []Member{a.Self()})
	answer, digests := b.Delta(asked), b.Digests()
	a.Merge(epoch, answer)
	b.Merge(epoch, a.Delta(digests))
}

func indexOf(tables []*Table, name string) int {
	return slices.IndexFunc(tables, func(t *Table) bool { return t.self.Name == name })
}

func converged(tables []*Table) bool {
	want := tables[0].All()
	for _, t := range tables[1:] {
		if !slices.Equal(t.All(), want) {
			return false
		}
	}
	return true
}

// TestSuspicion guards against a paused member that stays dead after it responded,
// and against a dead one that is never declared dead.
func TestSuspicion(t *testing.T) {
	a, b := NewTable(member("a", "z", "s")), NewTable(member("b", "z", "s"))
	a.Merge(epoch, []Member{b.Self()})
	suspect, ok := a.Suspect(epoch, "b")
	if !ok || suspect.State != Suspect {
		t.Fatalf("suspect: got %+v, %t", suspect, ok)
	}
	if got := a.Tick(epoch.Add(SuspectTimeout - time.Millisecond)); len(got) != 0 {
		t.Errorf("dead before the suspect period: got %v, want none", got)
	}
	b.Merge(epoch, []Member{suspect})
	a.Merge(epoch, []Member{b.Self()})
	if got, _ := a.Get("b"); got.State != Ready {
		t.Errorf("after the refutation: got %s, want %s", got.State, Ready)
	}
	a.Suspect(epoch, "b")
	if got := a.Tick(epoch.Add(SuspectTimeout)); len(got) != 1 || got[0].State != Dead {
		t.Errorf("after the suspect period: got %v, want b dead", got)
	}
	if a.Merge(epoch, []Member{b.Self()}); len(a.All()) != 1 {
		t.Errorf("late entry of a dead member: got %v, want it ignored", a.All())
	}
	dead := b.Self()
	dead.State = Dead
	b.Merge(epoch, []Member{dead})
	if changed := a.Merge(epoch, []Member{b.Self()}); len(changed) != 1 {
		t.Errorf("after the member refuted its death: got %v, want it back", changed)
	}
}

// TestHoldsOnlyItsScopes guards against a table that grows with the whole fleet.
func TestHoldsOnlyItsScopes(t *testing.T) {
	tbl := NewTable(member("self", "zone0", "service0"), "service1")
	var all []Member
	for i := range 12000 {
		all = append(all, member(fmt.Sprint("m", i), fmt.Sprint("zone", i%10), fmt.Sprint("service", i/10%1800)))
	}
	tbl.Merge(epoch, all)
	want := make(map[string]int)
	for _, m := range all {
		if m.Zone == "zone0" || m.Service == "service0" || m.Service == "service1" {
			want[m.Zone]++
		}
	}
	got := make(map[string]int)
	for _, m := range tbl.All()[:] {
		got[m.Zone]++
	}
	got["zone0"]--
	for zone, n := range want {
		if got[zone] < n || got[zone] > n+contactsPerZone {
			t.Errorf("members held of %s: got %d, want %d to %d", zone, got[zone], n, n+contactsPerZone)
		}
	}
	if len(got) != len(want) {
		t.Errorf("zones held: got %v, want %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
}

// BenchmarkDigests measures the digests of one daemon at the design size: 1,200
// members of its zone, and 30 followed services.
func BenchmarkDigests(b *testing.B) {
	for _, n := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tbl := largeTable(n)
			b.ResetTimer()
			for range b.N {
				tbl.Digests()
			}
		})
	}
}

// BenchmarkMergeZone measures merging the members of a whole zone that returns.
func BenchmarkMergeZone(b *testing.B) {
	var all []Member
	for i := range 1200 {
		all = append(all, member(fmt.Sprint("m", i), "zone0", fmt.Sprint("service", i%180)))
	}
	for range b.N {
		NewTable(member("self", "zone0", "service0")).Merge(epoch, all)
	}
}

// BenchmarkFleet measures the table of a daemon that receives a whole fleet of
// 12,000 members in 10 zones and 1,800 services, of which it follows 30, and the
// memory that the table retains.
func BenchmarkFleet(b *testing.B) {
	var all []Member
	for i := range 12000 {
		all = append(all, member(fmt.Sprint("m", i), fmt.Sprint("zone", i%10), fmt.Sprint("service", i/10%1800)))
	}
	follow := make([]string, 30)
	for i := range follow {
		follow[i] = fmt.Sprint("service", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var tbl *Table
	for range b.N {
		tbl = NewTable(member("self", "zone0", "service0"), follow...)
		tbl.Merge(epoch, all)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(all)
	b.ReportMetric(float64(len(tbl.All())), "members")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-bytes")
}

func largeTable(n int) *Table {
	follow := make([]string, 30)
	for i := range follow {
		follow[i] = fmt.Sprint("service", i)
	}
	tbl := NewTable(member("self", "zone0", "service0"), follow...)
	for i := range n {
		tbl.Merge(epoch, []Member{member(fmt.Sprint("m", i), "zone0", fmt.Sprint("service", i%180))})
	}
	return tbl
}

// TestZoneRankWithoutLog guards against a task that stays with a member that cannot
// read the log.
func TestZoneRankWithoutLog(t *testing.T) {
	now := time.Now()
	tbl := NewTable(Member{Name: "self", Zone: "a", State: Ready})
	var ahead []Member
	for i := range 20 {
		m := Member{Name: fmt.Sprintf("m%d", i), Zone: "a", State: Ready, Incarnation: 1}
		tbl.Merge(now, []Member{m})
		ahead = append(ahead, m)
	}
	if tbl.ZoneRank("reader") == 0 {
		t.Fatal("no other member ranks before this one, so the test would prove nothing")
	}
	for _, m := range ahead {
		m.Seq, m.LogUnreachable = 1, true
		tbl.Merge(now, []Member{m})
	}
	if got := tbl.ZoneRank("reader"); got != 0 {
		t.Errorf("got rank %d, want 0", got)
	}
}
