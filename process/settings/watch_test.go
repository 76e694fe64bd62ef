package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

type reloadRecorder chan Settings

func (r reloadRecorder) Reload(s Settings) { r <- s }

// TestWatch guards against a change of the file that is not detected, with and without
// a signal, and against an invalid file that replaces valid settings.
func TestWatch(t *testing.T) {
	good, err := os.ReadFile("testdata/valid.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(data string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(good))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	got, signals := make(reloadRecorder, 10), make(chan os.Signal, 1)
	go Watch(ctx, path, signals, hclog.NewNullLogger(), got)
	signals <- syscall.SIGHUP
	wait := func(what string) Settings {
		t.Helper()
		select {
		case s := <-got:
			return s
		case <-time.After(10 * time.Second):
			t.Fatalf("no settings after %s", what)
		}
		return Settings{}
	}
	want := wait("the signal")
	write("name = 1\n")
	signals <- syscall.SIGHUP
	time.Sleep(50 * time.Millisecond)
	write(string(good) + "\n# changed without a signal\n")
	if s := wait("a change of the file"); s.Name != want.Name {
		t.Errorf("got name %q, want %q", s.Name, want.Name)
	}
	if len(got) > 0 {
		t.Error("the invalid file was applied")
	}
}
