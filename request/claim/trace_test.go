package claim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "record testdata/trace.jsonl again")

// traceLine is one record of the recorded stream, with its effect.
type traceLine struct {
	Offset int64           `json:"offset"`
	At     time.Time       `json:"at"`
	Batch  json.RawMessage `json:"batch"`
	Effect Effect          `json:"effect"`
	Items  []Effect        `json:"items,omitempty"`
}

const tracePath = "testdata/trace.jsonl"

// recordTrace writes the stream of a schedule with races, faults, carries and
// expired keys.
func recordTrace(t *testing.T) {
	s := newSchedule(393, 60, true)
	s.retainRecords, s.retainAge = 16, 0
	var buf bytes.Buffer
	s.beforeClose = func(log *fakeLog, _ []owner) {
		var f Fold
		for _, e := range log.all {
			out := f.Apply(e.Offset, e.At, e.Data)
			line, err := json.Marshal(traceLine{e.Offset, e.At, e.Data, out.Effect, out.Items})
			if err != nil {
				t.Error(err)
			}
			buf.Write(append(line, '\n'))
		}
	}
	runSchedule(t, &s, newWriterOwner)
	if err := os.WriteFile(tracePath, buf.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Guards against a release that folds a retained stream differently from the
// release that wrote it. Together they would grant one key twice during an
// upgrade.
func TestReplayTrace(t *testing.T) {
	if *update {
		recordTrace(t)
	}
	data, err := os.ReadFile(tracePath)
	if err != nil {
		t.Fatal(err)
	}
	var f Fold
	seen := make(map[Effect]int)
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var line traceLine
		if err := json.Unmarshal(sc.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		out := f.Apply(line.Offset, line.At, line.Batch)
		if out.Effect != line.Effect || !slices.Equal(out.Items, line.Items) {
			t.Errorf("offset %d: got %s %v, want %s %v", line.Offset, out.Effect, out.Items, line.Effect, line.Items)
		}
		seen[out.Effect]++
		for _, e := range out.Items {
			seen["item "+e]++
		}
		// A record is folded only once.
		if out := f.Apply(line.Offset, line.At, line.Batch); out.Effect != Skipped {
			t.Errorf("offset %d again: got %s, want skipped", line.Offset, out.Effect)
		}
	}
	t.Logf("effects: %v", seen)
	for _, e := range []Effect{Applied, Duplicate, "item " + Applied, "item " + Lost, "item " + Stale} {
		if seen[e] == 0 {
			t.Errorf("the trace has no effect %q", e)
		}
	}
}

// Guards against faults in rules of the fold that random streams rarely or never
// reach.
func TestFoldRules(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	k, c := HashOf("k"), HashOf("c")
	claimK := Item{Kind: KindClaim, Key: k, Claim: c, Deadline: at.Add(time.Hour)}
	apply := func(f *Fold, at time.Time, b Batch) Outcome {
		data, err := json.Marshal(&b)
		if err != nil {
			t.Fatal(err)
		}
		return f.Apply(f.Offset()+1, at, data)
	}
	var f Fold
	apply(&f, at, Batch{Format: Format, ID: HashOf("1"), Items: []Item{claimK}})
	apply(&f, at, Batch{Format: Format, ID: HashOf("2"), Base: 1, Items: []Item{{Kind: KindRelease, Key: k, Claim: c}}})
	for range MaxBaseLag {
		apply(&f, at, Batch{Format: Format, ID: HashOf("3"), Base: f.Offset()})
	}
	if out := apply(&f, at, Batch{Format: Format, ID: HashOf("1"), Items: []Item{claimK}}); out.Effect != Stale || f.Len() != 0 {
		t.Errorf("copy that takes effect beyond the window: got %v and %d keys, want stale and none", out, f.Len())
	}
	if n := len(f.batches); n > MaxBaseLag {
		t.Errorf("%d batch ids in memory, want at most %d", n, MaxBaseLag)
	}
	// The first copy of a release may precede its claim and have no effect. A fold
	// that has not seen the first copy must not free the key at the second one,
	// which other folds skip as a duplicate.
	late := NewFold(2, at)
	apply(late, at, Batch{Format: Format, ID: HashOf("1"), Base: 1, Items: []Item{claimK}})
	apply(late, at, Batch{Format: Format, ID: HashOf("2"), Base: 0, Items: []Item{{Kind: KindRelease, Key: k, Claim: c}}})
	if g := late.Find(k); g.Result != Taken {
		t.Errorf("release with an unseen first copy: got %s, want taken", g.Result)
	}
	// The answer for a key in doubt may belong to an earlier lifetime of the key.
	apply(late, at, Batch{Format: Format, ID: HashOf("3"), Base: 3, Items: []Item{{Kind: KindDone, Key: k, Claim: c, Stored: &Stored{Status: 200}}}})
	if g := late.Find(k); g.Result != Taken {
		t.Errorf("answer for a key in doubt: got %s, want taken", g.Result)
	}
	if out := f.Apply(f.Offset()+1, at, []byte("{")); out.Effect != Skipped {
		t.Errorf("malformed record: got %v, want skipped", out)
	}
	if out := f.Apply(f.Offset()+2, at, nil); out.Effect != Gap {
		t.Errorf("record after a gap: got %v, want gap", out)
	}
	// Above the limit the oldest bodies are dropped first.
	f.BodyLimit = storedOverheadBytes + 10
	for i, key := range []Hash{HashOf("x"), HashOf("y")} {
		it := claimK
		it.Key = key
		apply(&f, at, Batch{Format: Format, ID: HashOf(string(rune('a' + i))), Base: f.Offset(), Items: []Item{
			it, {Kind: KindDone, Key: key, Claim: c, Stored: &Stored{Status: 200, Body: []byte("sixsix")}}}})
	}
	x, y := f.Find(HashOf("x")).Stored, f.Find(HashOf("y")).Stored
	if !x.Truncated || x.Status != 200 || x.Body != nil || string(y.Body) != "sixsix" {
		t.Errorf("got %v and %v, want only the second body", x, y)
	}
	// The memory of a key is free after its lifetime.
	apply(&f, at.Add(2*time.Hour), Batch{Format: Format, ID: HashOf("4"), Base: f.Offset()})
	if f.Sweep(); f.Len() != 0 || f.storedBytes != 0 {
		t.Errorf("after the lifetime: %d keys, %d bytes of bodies, want none", f.Len(), f.storedBytes)
	}
	f.Apply(f.Offset()+1, at, []byte(`{"format":2,"id":7}`))
	if f.Complete(at, time.Hour) {
		t.Error("fold with a record of a newer release is complete, want no more grants")
	}
}
