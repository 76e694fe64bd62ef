package client

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTrace guards against output with lines of other requests or with lines out
// of time order.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	files := map[string]string{
		"entry.log": `{"@level":"info","@message":"request answered","@module":"d1","@timestamp":"2026-12-04T05:00:00.300000Z","id":"abc","status":502}
not JSON
{"@level":"info","@message":"request answered","@module":"d1","@timestamp":"2026-12-04T05:00:00.400000Z","id":"other","detail":"abc"}
`,
		"host.log": `12.3 d2 {"@level":"info","@message":"call handled","@module":"d2","@timestamp":"2026-12-04T05:00:00.200000Z","id":"abc","reason":"connectionLost"}
`,
	}
	args := []string{"trace", "abc"}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, path)
	}
	var out, errOut bytes.Buffer
	if code := Run(t.Context(), args, WithOutput(&out, &errOut)); code != ExitDone {
		t.Fatalf("got exit code %d: %s", code, errOut.String())
	}
	got := out.String()
	host, entry := strings.Index(got, "call handled"), strings.Index(got, "request answered")
	if host < 0 || entry < host || strings.Count(got, "request answered") != 1 || !strings.Contains(got, "reason: connectionLost") {
		t.Errorf("got\n%s", got)
	}
	args[1] = "missing"
	if code := Run(t.Context(), args, WithOutput(&out, &errOut)); code != ExitError {
		t.Errorf("got exit code %d for a request without log lines, want %d", code, ExitError)
	}
}
