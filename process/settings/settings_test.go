package settings

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/internal/tomlsource"
	"github.com/kingcuppitch/kingcuppitch/internal/trace"
)

// TestLoad loads each file of testdata. Comments in the file say which failure it
// guards against and which problems are expected.
func TestLoad(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if len(trace.Comments(string(data), "guards")) != 1 {
				t.Error("the file does not say which failure it guards against")
			}
			s, err := Load(file)
			var got []string
			for _, p := range tomlsource.Problems(err) {
				got = append(got, p.Error())
			}
			want := trace.Comments(string(data), "want")
			if !slices.Equal(got, want) {
				t.Errorf("problems:\ngot  %s\nwant %s", strings.Join(got, "\n     "), strings.Join(want, "\n     "))
			}
			if err == nil {
				return
			}
			if !strings.Contains(err.Error(), file) {
				t.Errorf("error %q does not name the file", err)
			}
			if !reflect.DeepEqual(s, Settings{}) {
				t.Error("invalid settings were returned in part")
			}
		})
	}
}

// TestLoadMissing guards against a missing file that is read as an empty one.
func TestLoadMissing(t *testing.T) {
	if _, err := Load("testdata/none"); err == nil || !strings.Contains(err.Error(), "testdata/none") {
		t.Errorf("got %v, want an error that names the file", err)
	}
}

// TestLogLevel guards against refusing settings without a log level.
func TestLogLevel(t *testing.T) {
	data, err := os.ReadFile("testdata/valid.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse([]byte(strings.Replace(string(data), `logLevel = "info"`, "", 1)))
	if err != nil || s.LogLevel != "info" {
		t.Errorf("got %q, %v, want info", s.LogLevel, err)
	}
}

// TestColdRate guards against more requests in cold start than ColdFactor allows.
func TestColdRate(t *testing.T) {
	for _, c := range []struct{ factor, want float64 }{{0, 16}, {0.5, 16}, {1, 16}, {1.5, 22.4}} {
		if got := (Bounds{ColdFactor: c.factor}).ColdRate(16); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("factor %v: got %v a second, want %v", c.factor, got, c.want)
		}
	}
}
