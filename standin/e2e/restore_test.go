package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
)

// checkRoutes reports the daemons through which a route is not served. A daemon that has
// no current configuration may say so for a time.
func checkRoutes(t *testing.T, f *fleet.Fleet, when string, paths ...string) {
	t.Helper()
	caller := fleet.NewCaller()
	defer caller.Close()
	until := time.Now().Add(inForceWithin)
	for _, n := range f.Nodes {
		for _, path := range paths {
			call := fleet.Call{Method: http.MethodGet, Path: path}
			got, err := caller.Do(t.Context(), n.Settings.CallerAddress, call)
			for err == nil && got.Status == http.StatusServiceUnavailable && time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
				got, err = caller.Do(t.Context(), n.Settings.CallerAddress, call)
			}
			if err != nil || got.Status != http.StatusOK {
				t.Errorf("%s: %s through %s: got %d %s, %v", when, path, n.Name, got.Status, got.Body, err)
			}
		}
	}
}

// Guards against versions that are no longer in force, or that daemons no longer take,
// after the log has been restored from an older copy, once and again.
func TestLogRestored(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	data, err := os.ReadFile("testdata/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.toml")
	var paths []string
	publish := func() {
		t.Helper()
		name := fmt.Sprint("added-", len(paths))
		data = fmt.Appendf(data, "\n[[routes]]\nname = %q\nprefix = \"/%s\"\nupstream = \"booking\"\nidempotent = true\nclass = \"browse\"\nanswerWithin = \"3s\"\n", name, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		var res struct{ Version int64 }
		if err := json.Unmarshal([]byte(client(t, f, "--output", "json", "publish", path)), &res); err != nil || res.Version == 0 {
			t.Fatalf("got version %d, %v", res.Version, err)
		}
		paths = append(paths, "/"+name)
		if err := f.AwaitVersion(t.Context(), res.Version, time.Now().Add(inForceWithin)); err != nil {
			t.Error(err)
		}
	}
	publish()
	for i := range 2 {
		time.Sleep(1500 * time.Millisecond)
		published := time.Now()
		publish()
		publish()
		if err := f.RestoreLog(t.Context(), time.Since(published)); err != nil {
			t.Fatal(err)
		}
		checkRoutes(t, f, "after the restore", paths...)
		publish()
		checkRoutes(t, f, "after the next version", paths...)
		restarted := f.Nodes[i]
		if err := fleet.Kill(restarted.Daemon); err != nil {
			t.Fatal(err)
		}
		if err := f.StartDaemon(restarted, time.Now().Add(startTimeout)); err != nil {
			t.Fatal(err)
		}
		if err := f.AwaitReady(t.Context(), time.Now().Add(startTimeout)); err != nil {
			t.Fatal(err)
		}
		checkRoutes(t, f, "after a restart", paths...)
	}
}
