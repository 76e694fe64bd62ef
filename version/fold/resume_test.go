package fold_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// storedLog returns the records of an era that a text describes, one word each: cN is the
// configuration of revision N, +Z and -Z take zone Z out and back, and mV moves the
// upstream to version V within 10 s.
func storedLog(t *testing.T, e int64, text string) (list []fold.StoredRecord, end int64) {
	t.Helper()
	for i, word := range append([]string{""}, strings.Fields(text)...) {
		offset, err := era.Offset(e, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		if end = offset; i == 0 {
			continue
		}
		rec := record.Record{ID: fmt.Sprint("r", offset), Base: offset - 1}
		for _, b := range []byte(word) {
			rec.Sum = rec.Sum*131 + uint64(b)
		}
		switch word[0] {
		case 'c':
			rec.Kind, rec.Revision = record.KindReplace, int64(word[1]-'0')
			rec.Replace = &config.Config{
				Zones:     []config.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
				Upstreams: []config.Upstream{{Name: "fitting", Announced: true, Connections: 9}},
				Presets:   []config.Preset{{Name: "p", CanaryPercent: 10}},
			}
		case '+', '-':
			rec.Kind, rec.Zone = record.KindZone, &record.Zone{Name: word[1:], Out: word[0] == '+'}
		case 'm':
			rec.Kind, rec.Move = record.KindMove, &record.Move{Upstream: "fitting", To: word[1:], Within: 10e9, Replaces: true}
		}
		data, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, fold.StoredRecord{Offset: offset, Data: data})
	}
	return list, end
}

func foldAll(t *testing.T, st *fold.State, e int64, text string) *fold.State {
	t.Helper()
	list, _ := storedLog(t, e, text)
	for _, r := range list {
		st.Apply(r.Offset, r.Data)
	}
	return st
}

// describe returns what is in force: the revision, the zones that are out, and the moves.
func describe(st *fold.State) string {
	text := fmt.Sprint("c", st.Revision)
	for _, z := range []string{"a", "b"} {
		if st.Zones[z].Out {
			text += " +" + z
		}
	}
	for _, m := range st.Moves {
		text += fmt.Sprintf(" m%s:%d/%d:%s", m.To, era.Of(m.ID), era.Number(m.ID), m.State)
	}
	return text
}

// TestResume guards against a state that returns to what an older copy of the log holds,
// loses what the copy lacks, or misses what has been written since: also where the log has
// outgrown the lost one, or holds the same record again at the same number.
func TestResume(t *testing.T) {
	for _, tt := range []struct{ name, before, after, want string }{
		{"lost configuration stays", "c1 c2 c3", "c1", "c3"},
		{"all lost", "c1 c2", "", "c2"},
		{"written again", "c1 c2 c3", "c1 c3", "c3"},
		{"written again and outgrown", "c1 c2 c3", "c1 c3 c4 c5", "c5"},
		{"new record at a number that was held", "c1 c2 c3", "c1 +a c3 c4", "c4 +a"},
		{"same record at the same number after a new one", "c1 c2 +a -a", "c1 c3 +a", "c3 +a"},
		{"order lost", "c1 +a", "c1", "c1 +a"},
		{"withdrawal lost", "c1 +a c2 -a", "c1 +a c2", "c2"},
		{"order and withdrawal lost", "c1 +a -a", "c1", "c1"},
		{"lost order withdrawn", "c1 +a", "c1 -a", "c1"},
		{"lost order written again and withdrawn", "c1 +a", "c1 +a -a", "c1"},
		{"older configuration written", "c1 c5", "c1 c3", "c5"},
		{"copy that is longer than what was held", "c1 c2", "c1 c2 c3 +b", "c3 +b"},
		{"nothing lost", "c1 c2", "c1 c2", "c2"},
		{"everything lost and written again in another order", "c1 +a c2", "+a c2", "c2 +a"},
		{"move ordered again", "c1 mv2", "c1 mv2", "c1 mv2:1/2:running"},
		{"move ordered again at another number", "c1 c2 mv2", "c1 mv2 c2", "c2 mv2:1/3:running"},
		{"another move", "c1 mv2", "c1 mv3", "c1 mv2:1/2:takenBack mv3:2/2:running"},
		{"lost move stays", "c1 mv2", "c1", "c1 mv2:1/2:running"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			was := foldAll(t, new(fold.State), 1, tt.before)
			before := describe(was)
			list, end := storedLog(t, 2, tt.after)
			st, _, ok := was.Resume(list, end)
			if !ok {
				t.Fatal("got no state")
			}
			if got := describe(st); got != tt.want || st.Offset != end || st.Carried != was.Offset {
				t.Errorf("got %s at %d, carried %d, want %s at %d, carried %d", got, st.Offset, st.Carried, tt.want, end, was.Offset)
			}
			if got := describe(was); got != before {
				t.Errorf("the state before became %s", got)
			}
		})
	}
}

// TestResumeTwice guards against records that a first restore lost and that are taken for
// known after a second one.
func TestResumeTwice(t *testing.T) {
	st := foldAll(t, new(fold.State), 1, "c1 +a -a +b")
	for i, tt := range []struct{ after, want string }{
		{"c1 c2", "c2 +b"},
		{"c1 c2 +a", "c2 +a +b"},
		{"c1 c2 +a -b c3", "c3 +a"},
		{"c1", "c3 +a"},
		{"c1 -a", "c3"},
	} {
		list, end := storedLog(t, int64(i+2), tt.after)
		next, _, ok := st.Resume(list, end)
		if !ok || describe(next) != tt.want {
			t.Fatalf("restore %d to %q: got %v, %v, want %s", i+1, tt.after, next, ok, tt.want)
		}
		st = next
	}
}

// TestResumeUnknown guards against a guess where the copy ends: the state of a daemon that
// started with the newest records holds none of the records of the copy.
func TestResumeUnknown(t *testing.T) {
	var kept []fold.RetainedRecord
	list, end := storedLog(t, 1, "c1 c2 +a c3")
	for _, r := range list[2:] {
		rec, err := record.Decode(r.Data)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, fold.RetainedRecord{Offset: r.Offset, Record: rec})
	}
	st := fold.FromNewest(kept, end)
	again, againEnd := storedLog(t, 2, "c1 c2")
	if next, _, ok := st.Resume(again, againEnd); ok {
		t.Errorf("got %s, want no state", describe(next))
	}
	if next, _, ok := st.Resume(nil, againEnd); ok {
		t.Errorf("got %s without any record of a log that is not empty, want no state", describe(next))
	}
	again, againEnd = storedLog(t, 2, "c1 c2 -a +b c4")
	if next, _, ok := st.Resume(again[2:], againEnd); ok {
		t.Errorf("got %s from new records that others may precede, want no state", describe(next))
	}
	again, againEnd = storedLog(t, 2, "c1 c2 +a +b")
	if next, _, ok := st.Resume(again, againEnd); !ok || describe(next) != "c3 +a +b" {
		t.Errorf("got %v, %v, want c3 +a +b", next, ok)
	}
}

// TestKeep guards against a state of a restored log that brings back an older
// configuration, or begins a move anew that has ended.
func TestKeep(t *testing.T) {
	was := foldAll(t, new(fold.State), 1, "c1 mv2 c4")
	if err := was.EndMove(was.Moves[0].ID, fold.MoveTakenBack, "bad"); err != nil {
		t.Fatal(err)
	}
	st := foldAll(t, new(fold.State), 2, "c1 c3 mv2")
	if !st.Keep(was) || describe(st) != "c4 mv2:1/2:takenBack" || st.Moves[0].OrderedAt() != st.Offset {
		t.Errorf("got %s ordered at %d, want c4 mv2:1/2:takenBack ordered at %d", describe(st), st.Moves[0].OrderedAt(), st.Offset)
	}
	st = foldAll(t, new(fold.State), 2, "c4 mv3")
	if st.Keep(was) || describe(st) != "c4 mv3:2/2:running" {
		t.Errorf("got %s, want c4 mv3:2/2:running", describe(st))
	}
}

// TestAdd guards against what only one daemon has folded before a restore and is lost when
// it takes over a later state, and against a lost record that undoes a later one.
func TestAdd(t *testing.T) {
	for _, tt := range []struct{ name, own, held, after, want string }{
		{"order", "c1 +a", "c1", "c1 c2", "c2 +a"},
		{"withdrawal of an order that the others hold", "c1 +a -a", "c1 +a", "c1 +a", "c1"},
		{"order on a zone that has changed since", "c1 +a", "c1", "c1 +a -a", "c1"},
		{"move", "c1 mv2", "c1", "c1", "c1 mv2:1/2:running"},
		{"move of an upstream that has another one since", "c1 mv2", "c1", "c1 mv3", "c1 mv3:2/2:running"},
		{"configuration", "c1 c3", "c1", "c1 c2", "c3"},
		{"nothing that the others lack", "c1 +a", "c1 +a", "c1 -a", "c1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, end := storedLog(t, 2, tt.after)
			st, _, ok := foldAll(t, new(fold.State), 1, tt.held).Resume(list, end)
			if !ok {
				t.Fatal("got no state")
			}
			own, _ := storedLog(t, 1, tt.own)
			st.Add(own)
			if got := describe(st); got != tt.want || st.Offset != end {
				t.Errorf("got %s at %d, want %s at %d", got, st.Offset, tt.want, end)
			}
		})
	}
}
