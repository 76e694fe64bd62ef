package fold

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	"pgregory.net/rapid"
)

// testSeed makes rapid draw the same cases in every run.
const testSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(testSeed)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// traceLine is one record of a recorded trace with its expected outcome.
type traceLine struct {
	Record json.RawMessage `json:"record"`
	Result Result          `json:"result"`
	Winner int64           `json:"winner"`
	// Active, Preset and Out are the expected state after the record.
	Active map[string]string `json:"active"`
	Preset string            `json:"preset"`
	Out    []string          `json:"out"`
}

// TestTraces guards against records that are applied in part, that win a
// conflict they should lose, or that change the state although they are refused.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("traces: got %d files, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replay(t, file) })
	}
}

func replay(t *testing.T, file string) {
	var st State
	for i, line := range trace.Read[traceLine](t, file) {
		offset := int64(i + 1)
		before := st.Clone()
		out := st.Apply(offset, line.Record)
		if out.Result != line.Result || out.Winner != line.Winner {
			t.Errorf("record %d: got %s (winner %d, %s), want %s (winner %d)", offset, out.Result, out.Winner, out.Reason, line.Result, line.Winner)
		}
		if line.Result != Accepted {
			checkUnchanged(t, before, &st)
		}
		checkEffect(t, offset, &st, line)
	}
}

func checkUnchanged(t *testing.T, before, after *State) {
	t.Helper()
	a, b := after.Clone(), before.Clone()
	a.Offset, a.Outcomes, a.Newer = 0, nil, 0
	b.Offset, b.Outcomes, b.Newer = 0, nil, 0
	if a.Hash() != b.Hash() {
		t.Errorf("record %d: got a changed state, want the state before the refused record", after.Offset)
	}
}

func checkEffect(t *testing.T, offset int64, st *State, line traceLine) {
	t.Helper()
	for name, want := range line.Active {
		if u, _ := st.Config.Upstream(name); u.Active != want {
			t.Errorf("record %d: active version of %s: got %q, want %q", offset, name, u.Active, want)
		}
	}
	if p, _ := st.InForce(epoch.Add(time.Hour)); line.Preset != "" && p.Name != line.Preset {
		t.Errorf("record %d: preset: got %q, want %q", offset, p.Name, line.Preset)
	}
	for _, zone := range line.Out {
		if !st.Zones[zone].Out {
			t.Errorf("record %d: zone %s: got in service, want out", offset, zone)
		}
	}
}

// randomRecords returns a stream of random records. Many of them conflict, refer
// to undefined resources or repeat an id.
func randomRecords(rnd *rand.Rand, n int) [][]byte {
	var list [][]byte
	for i := range n {
		rec := record.Record{ID: fmt.Sprint("r", rnd.IntN(n)), At: epoch.Add(time.Duration(i) * time.Second), Base: int64(rnd.IntN(n))}
		name := func(prefix string) string { return fmt.Sprint(prefix, rnd.IntN(3)) }
		switch rnd.IntN(8) {
		case 0, 1, 2, 3:
			rec.Kind, rec.Publish = record.KindPublish, randomChange(rnd, name)
		case 4:
			rec.Kind, rec.Preset = record.KindPreset, &record.Preset{Name: name("preset"), ActivateAt: rec.At.Add(2 * time.Second)}
		case 5:
			rec.Kind, rec.Zone = record.KindZone, &record.Zone{Name: name("zone"), Out: rnd.IntN(2) == 0}
		case 6:
			rec.Kind, rec.Move = record.KindMove, &record.Move{Upstream: name("up"), From: "v1", To: "v2", StartAt: rec.At, DoneBy: rec.At.Add(time.Minute)}
		case 7:
			rec.Kind, rec.Verdict = record.KindVerdict, &record.MoveEnd{Move: int64(rnd.IntN(n))}
		}
		data, err := rec.Encode()
		if err != nil {
			panic(err)
		}
		list = append(list, data)
	}
	return list
}

func randomChange(rnd *rand.Rand, name func(string) string) *config.Change {
	c := &config.Change{}
	up := config.Upstream{Name: name("up"), Versions: []string{"v1", "v2"}, Active: "v1", Slots: 10, ColdSlots: 1, Connections: 100}
	switch rnd.IntN(5) {
	case 0, 1:
		c.Upserts.Zones = []config.Zone{{Name: name("zone"), Region: "r"}}
		c.Upserts.Upstreams = []config.Upstream{up}
		c.Upserts.Presets = []config.Preset{{Name: name("preset")}}
	case 2:
		n := rnd.IntN(3)
		c.Upserts.Routes = []config.Route{{
			Name: fmt.Sprint("route", n), Prefix: fmt.Sprint("/", n), Upstream: name("up"), Class: "c", AnswerWithin: config.Duration(time.Second),
		}}
	case 3:
		c.Deletes.Upstreams = []string{name("up")}
	case 4:
		c.Deletes.Routes = []string{name("route")}
	}
	return c
}

// deliverReordered delivers each record twice and out of order, as one daemon may
// receive it. It calls apply for each delivery, in the order of arrival.
func deliverReordered(rnd *rand.Rand, records [][]byte, apply func(offset int64, data []byte)) {
	order := make([]int, 0, 2*len(records))
	for i := range records {
		order = append(order, i, i)
	}
	for i := range order {
		j := min(len(order)-1, i+rnd.IntN(6))
		order[i], order[j] = order[j], order[i]
	}
	for _, i := range order {
		apply(int64(i+1), records[i])
	}
}

// daemonState buffers deliveries and folds them without gaps, as the control core
// does.
type daemonState struct {
	State
	waiting map[int64][]byte
}

func (d *daemonState) deliver(offset int64, data []byte) {
	d.waiting[offset] = data
	for {
		next, ok := d.waiting[d.Offset+1]
		if !ok {
			return
		}
		d.Apply(d.Offset+1, next)
	}
}

// naiveState applies each update on arrival; the last arrival wins. It receives
// the same updates in the same order as daemonState.
type naiveState struct {
	version int64
	cfg     config.Config
}

func (n *naiveState) deliver(offset int64, data []byte) {
	rec, err := record.Decode(data)
	if err != nil || rec.Publish == nil {
		return
	}
	n.version = offset
	n.cfg = config.Apply(n.cfg, *rec.Publish)
}

// TestCrossedUpdates guards against daemons that diverge, go back to an older
// version, or hold a route without its upstream, when updates arrive out of
// order.
func TestCrossedUpdates(t *testing.T) {
	var back, dangling, diverged int
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		records := randomRecords(rnd, 60)
		var hashes, naive []uint64
		for range 3 {
			d := &daemonState{waiting: make(map[int64][]byte)}
			var nv naiveState
			deliverReordered(rnd, records, func(offset int64, data []byte) {
				prev, prevNaive := d.Version, nv.version
				d.deliver(offset, data)
				nv.deliver(offset, data)
				if d.Version < prev {
					rt.Fatalf("version: got %d after %d, want no older version", d.Version, prev)
				}
				if err := d.Config.Validate(); err != nil {
					rt.Fatalf("configuration at offset %d: got %v, want a valid one", d.Offset, err)
				}
				checkOnePreset(rt, &d.State)
				if nv.version < prevNaive {
					back++
				}
				if nv.cfg.Validate() != nil {
					dangling++
				}
			})
			hashes = append(hashes, d.Hash())
			naive = append(naive, (&State{Config: nv.cfg}).Hash())
		}
		if len(slices.Compact(hashes)) != 1 {
			rt.Fatalf("states after all deliveries: got %x, want equal hashes", hashes)
		}
		if len(slices.Compact(naive)) != 1 {
			diverged++
		}
	})
	t.Logf("naive, in 100 schedules of 3 daemons: %d steps back, %d invalid configurations, %d schedules diverged; fold: 0, 0, 0", back, dangling, diverged)
	if back == 0 || dangling == 0 || diverged == 0 {
		t.Errorf("naive version: got %d steps back, %d invalid, %d diverged, want some of each", back, dangling, diverged)
	}
}

func checkOnePreset(rt *rapid.T, st *State) {
	if len(st.Config.Presets) == 0 {
		return
	}
	for _, at := range []time.Time{epoch.Add(-time.Hour), epoch, epoch.Add(30 * time.Second), epoch.Add(time.Hour)} {
		if _, ok := st.InForce(at); !ok {
			rt.Fatalf("preset in force at %v: got none, want exactly one", at)
		}
	}
}

// TestSnapshotEqualsFold guards against a daemon that starts from a snapshot
// and then reaches a different state than one that folded every record.
func TestSnapshotEqualsFold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		records := randomRecords(rnd, 80)
		cut := rapid.IntRange(1, len(records)-1).Draw(rt, "cut")
		var whole State
		var fresh *State
		for i, data := range records {
			if i == cut {
				encoded, err := whole.Encode()
				if err != nil {
					rt.Fatal(err)
				}
				if fresh, err = DecodeState(encoded); err != nil {
					rt.Fatal(err)
				}
			}
			whole.Apply(int64(i+1), data)
			if fresh != nil {
				fresh.Apply(int64(i+1), data)
			}
		}
		if got, want := fresh.Hash(), whole.Hash(); got != want {
			rt.Fatalf("state from a snapshot at %d: got %x, want %x", cut, got, want)
		}
	})
}

// BenchmarkApply measures one record on a state with 1,800 upstreams, the number
// that the design assumes.
func BenchmarkApply(b *testing.B) {
	st := largeState(b, 1800)
	b.ResetTimer()
	for i := range b.N {
		rec := record.Record{ID: fmt.Sprint("b", i), Kind: record.KindPublish, Base: st.Offset, At: epoch, Publish: &config.Change{
			Upserts: config.Config{Upstreams: []config.Upstream{largeUpstream(i % 1800)}},
		}}
		data, err := rec.Encode()
		if err != nil {
			b.Fatal(err)
		}
		next := st.Clone()
		if out := next.Apply(next.Offset+1, data); out.Result != Accepted {
			b.Fatal(out.Reason)
		}
		st = next
	}
}

// BenchmarkEncode measures a snapshot by the number of services.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{100, 450, 1800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			st := largeState(b, n)
			b.ResetTimer()
			size := 0
			for range b.N {
				data, err := st.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func largeUpstream(i int) config.Upstream {
	return config.Upstream{Name: fmt.Sprint("service", i), Versions: []string{"v1", "v2"}, Active: "v1", Slots: 20, ColdSlots: 2, Connections: 120}
}

func largeState(b *testing.B, services int) *State {
	var cfg config.Config
	cfg.Presets = []config.Preset{{Name: "ordinary", RetryPercent: 10, CanaryPercent: 5}}
	for i := range services {
		cfg.Upstreams = append(cfg.Upstreams, largeUpstream(i))
		for _, idempotent := range []bool{true, false} {
			cfg.Routes = append(cfg.Routes, config.Route{
				Name: fmt.Sprintf("route%d-%t", i, idempotent), Prefix: fmt.Sprintf("/service%d/%t", i, idempotent), Upstream: fmt.Sprint("service", i),
				Idempotent: idempotent, Class: "c", AnswerWithin: config.Duration(time.Second),
			})
		}
	}
	data, err := record.Record{ID: "first", Kind: record.KindPublish, Publish: &config.Change{Upserts: cfg}, At: epoch}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	st := &State{}
	if out := st.Apply(1, data); out.Result != Accepted {
		b.Fatal(out.Reason)
	}
	return st
}
