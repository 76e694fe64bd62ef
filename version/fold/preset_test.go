package fold

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// TestFirstPreset guards against a first publication that puts the first preset
// by name in force instead of the first in the file. In the examples,
// maintenance sorts before ordinary but follows it in the file.
func TestFirstPreset(t *testing.T) {
	for _, example := range []string{"interviewBooking", "robeHire"} {
		t.Run(example, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", example, "config.toml"))
			if err != nil {
				t.Fatal(err)
			}
			cfg, err := config.Parse(data)
			if err != nil {
				t.Fatal(err)
			}
			change := config.Diff(config.Config{}, cfg)
			rec := record.Record{ID: "1", Kind: record.KindPublish, At: time.Now(), Publish: &change}
			if data, err = rec.Encode(); err != nil {
				t.Fatal(err)
			}
			var st State
			if out := st.Apply(1, data); out.Result != Accepted {
				t.Fatalf("result: got %s: %s", out.Result, out.Reason)
			}
			if p, ok := st.InForce(time.Now()); !ok || p.Name != "ordinary" {
				t.Errorf("preset in force: got %q, want %q", p.Name, "ordinary")
			}
		})
	}
}
