package record

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/pelletier/go-toml/v2"
)

// TestDecode runs the cases of testdata/decode.toml.
func TestDecode(t *testing.T) {
	data, err := os.ReadFile("testdata/decode.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Cases []struct {
			Name, Guards, JSON, Want string
			Newer                    bool
		}
	}
	if err := toml.Unmarshal(data, &file); err != nil || len(file.Cases) == 0 {
		t.Fatalf("%d cases: %v", len(file.Cases), err)
	}
	for _, c := range file.Cases {
		t.Run(c.Name, func(t *testing.T) {
			if c.Guards == "" {
				t.Error("the case does not say which failure it guards against")
			}
			// The message is part of a report of the daemon, so it must be the
			// same in every run.
			for range 20 {
				r, err := Decode([]byte(c.JSON))
				if c.Want == "" {
					if err != nil {
						t.Fatal(err)
					}
					return
				}
				if err == nil || !strings.HasSuffix(err.Error(), c.Want) {
					t.Fatalf("error: got %v, want %q", err, c.Want)
				}
				if got := errors.Is(err, ErrNewer); got != c.Newer {
					t.Errorf("ErrNewer: got %v, want %v", got, c.Newer)
				}
				if !reflect.DeepEqual(r, Record{}) {
					t.Errorf("invalid record: got %+v, want the zero record", r)
				}
			}
		})
	}
}

// TestSize guards against a record above the size limit that is encoded, or that
// a daemon decodes.
func TestSize(t *testing.T) {
	r := Record{ID: "1", Kind: KindPublish, Publish: &config.Change{}}
	r.Author = strings.Repeat("a", MaxSize)
	if data, err := r.Encode(); err == nil || data != nil || !strings.Contains(err.Error(), "exceed the limit of 4194304 bytes") {
		t.Errorf("encode: got %d bytes, %v, want an error with the limit", len(data), err)
	}
	if _, err := Decode(make([]byte, MaxSize+1)); err == nil || !strings.Contains(err.Error(), "4194305 bytes exceed the limit of 4194304 bytes") {
		t.Errorf("decode: got %v, want an error with the limit", err)
	}
	r.Author = ""
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r.Author = strings.Repeat("a", MaxSize-len(data)-len(`,"author":""`))
	if data, err = r.Encode(); err != nil || len(data) != MaxSize {
		t.Fatalf("largest record: got %d bytes, %v, want %d", len(data), err, MaxSize)
	}
	if _, err := Decode(data); err != nil {
		t.Errorf("decode of the largest record: %v", err)
	}
}

// TestEncode guards against a record that this release encodes but cannot decode.
func TestEncode(t *testing.T) {
	at := time.Date(2026, 3, 1, 18, 0, 0, 5, time.UTC)
	records := []Record{
		{Kind: KindPublish, Publish: &config.Change{Deletes: config.Names{Routes: []string{"a"}}}},
		{Kind: KindPreset, Preset: &Preset{Name: "peak", ActivateAt: at}},
		{Kind: KindZone, Zone: &Zone{Name: "nl-west-a", Out: true, RampUntil: at}},
		{Kind: KindMove, Move: &Move{Upstream: "booking", From: "1", To: "2", StartAt: at, DoneBy: at}},
		{Kind: KindMoveStop, MoveStop: &MoveEnd{Move: 7, Reason: "r"}},
		{Kind: KindVerdict, Verdict: &MoveEnd{Move: 7, Reason: "r", Evidence: "e"}},
		{Kind: KindMoveDone, MoveDone: &MoveEnd{Move: 7}},
		{Kind: KindSnapshot, Snapshot: &Snapshot{UpTo: 7, State: []byte(`{}`)}},
	}
	for _, r := range records {
		t.Run(string(r.Kind), func(t *testing.T) {
			r.ID, r.Base, r.Author, r.At = "id", 3, "anna", at
			data, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			want := r
			want.Format = Format
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	faulty := []struct {
		name, want string
		record     Record
	}{
		{"no id", "id is empty", Record{Kind: KindMoveDone, MoveDone: &MoveEnd{Move: 7}}},
		{"no body", `kind "moveDone": body is missing`, Record{ID: "1", Kind: KindMoveDone}},
		{"two bodies", `kind "moveDone": body "zone" is unexpected`, Record{ID: "1", Kind: KindMoveDone, MoveDone: &MoveEnd{}, Zone: &Zone{}}},
		{"newer format", "record of a newer release", Record{ID: "1", Format: Format + 1, Kind: KindMoveDone, MoveDone: &MoveEnd{}}},
		{"unknown kind", "record of a newer release", Record{ID: "1", Kind: "rename"}},
	}
	for _, f := range faulty {
		t.Run(f.name, func(t *testing.T) {
			if data, err := f.record.Encode(); err == nil || data != nil || !strings.Contains(err.Error(), f.want) {
				t.Errorf("got %q, %v, want %q", data, err, f.want)
			}
		})
	}
}
