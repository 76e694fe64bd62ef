package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// commandCase is one command line against a mesh of fake daemons.
type commandCase struct {
	// Guards describes the failure that the case guards against.
	Guards  string             `json:"guards"`
	Daemons []fakeDaemonConfig `json:"daemons"`
	// History holds records that are applied before the command.
	History []historyEntry `json:"history"`
	// Args is the command line. {name} is replaced by the address of that
	// daemon.
	Args []string `json:"args"`
	// Later holds records that are applied shortly after the command starts.
	Later []historyEntry `json:"later"`
	Code  int            `json:"code"`
	// Stdout and Stderr are substrings that the outputs must contain in order.
	Stdout []string `json:"stdout"`
	Stderr []string `json:"stderr"`
	// Absent lists substrings that neither output may contain.
	Absent []string `json:"absent"`
	// JSON is compared with the output by containsJSON.
	JSON any `json:"json"`
	// Appends is the expected number of Append calls, or 0 to skip the check.
	// All calls must carry the same record.
	Appends int `json:"appends"`
	// Version is the expected version of the state after the command, or 0 to
	// skip the check.
	Version int64 `json:"version"`
}

// historyEntry is a record, or the path of a configuration file to publish.
type historyEntry struct {
	Author  string `json:"author"`
	Publish string `json:"publish"`
	record.Record
}

func (m *fakeMesh) appendHistory(t *testing.T, list []historyEntry) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range list {
		rec := h.Record
		rec.Author, rec.ID, rec.At = h.Author, newID(), time.Now()
		if h.Publish != "" {
			cfg, err := readConfig(h.Publish)
			if err != nil {
				t.Fatal(err)
			}
			change := config.Diff(m.state.Config, cfg)
			rec.Kind, rec.Publish = record.KindPublish, &change
		}
		rec.Base = m.state.Offset
		data, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if out := m.appendAndApply(data); out.Result != fold.Accepted {
			t.Fatalf("history record is %s: %s", out.Result, out.Reason)
		}
	}
}

// containsJSON reports whether got matches want. Values must be equal, lists
// must have the same length, and objects may have additional keys.
func containsJSON(got, want any) bool {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return false
		}
		for k, v := range w {
			if !containsJSON(g[k], v) {
				return false
			}
		}
		return true
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return false
		}
		for i := range w {
			if !containsJSON(g[i], w[i]) {
				return false
			}
		}
		return true
	}
	return reflect.DeepEqual(got, want)
}

func checkInOrder(t *testing.T, name, got string, want []string) {
	t.Helper()
	rest := got
	for _, part := range want {
		i := strings.Index(rest, part)
		if i < 0 {
			t.Errorf("%s does not contain %q in the expected order:\n%s", name, part, got)
			return
		}
		rest = rest[i+len(part):]
	}
}

func TestCommands(t *testing.T) {
	files, err := filepath.Glob("testdata/commands/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		cases := make(map[string]commandCase)
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&cases); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		for name, c := range cases {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".json")+"/"+name, func(t *testing.T) {
				t.Parallel()
				runCase(t, c)
			})
		}
	}
}

func runCase(t *testing.T, c commandCase) {
	if c.Guards == "" {
		t.Error("guards is empty: it must describe the failure that the case guards against")
	}
	if len(c.Daemons) == 0 {
		c.Daemons = []fakeDaemonConfig{{Name: "daemon-1"}}
	}
	m := newFakeMesh(t, c.Daemons)
	m.appendHistory(t, c.History)
	var args, addressToName, nameToAddress []string
	for _, d := range m.daemons {
		addressToName = append(addressToName, d.addr.String(), "{"+d.cfg.Name+"}")
		nameToAddress = append(nameToAddress, "{"+d.cfg.Name+"}", d.addr.String())
	}
	for _, arg := range c.Args {
		args = append(args, strings.NewReplacer(nameToAddress...).Replace(arg))
	}
	if !strings.Contains(strings.Join(args, " "), "--daemon") {
		for _, d := range m.daemons {
			args = append(args, "--daemon", d.addr.String())
		}
	}
	if len(c.Later) > 0 {
		timer := time.AfterFunc(300*time.Millisecond, func() { m.appendHistory(t, c.Later) })
		defer timer.Stop()
	}
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, WithOutput(&stdout, &stderr))
	if code != c.Code {
		t.Errorf("exit code: got %d, want %d", code, c.Code)
	}
	mask := strings.NewReplacer(addressToName...)
	out, errOut := mask.Replace(stdout.String()), mask.Replace(stderr.String())
	checkInOrder(t, "output", out, c.Stdout)
	checkInOrder(t, "error output", errOut, c.Stderr)
	for _, part := range c.Absent {
		if strings.Contains(out+errOut, part) {
			t.Errorf("output contains %q, which must be absent:\n%s%s", part, out, errOut)
		}
	}
	if c.JSON != nil {
		var got any
		if err := json.Unmarshal([]byte(out), &got); err != nil {
			t.Errorf("output is not valid JSON: %v\n%s", err, out)
		} else if !containsJSON(got, c.JSON) {
			t.Errorf("JSON: got %s\nwant %v", out, c.JSON)
		}
	}
	m.mu.Lock()
	appends, version := len(m.appends), m.state.Version
	m.mu.Unlock()
	if c.Appends > 0 && appends != c.Appends {
		t.Errorf("appends: got %d, want %d", appends, c.Appends)
	}
	if got := m.distinctRecords(); got > 1 {
		t.Errorf("distinct records in all attempts: got %d, want 1", got)
	}
	if c.Version > 0 && version != c.Version {
		t.Errorf("version: got %d, want %d", version, c.Version)
	}
	if t.Failed() {
		t.Logf("exit code %d\noutput:\n%s\nerror output:\n%s", code, out, errOut)
	}
}

// TestNewID guards against record ids that repeat or are shorter than 128 bits.
// With a repeated id, a daemon treats a new record as a duplicate.
func TestNewID(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		id := newID()
		if len(id) != 32 || seen[id] {
			t.Fatalf("id %q has %d characters, want 32, or repeats", id, len(id))
		}
		seen[id] = true
	}
}

// TestCancel guards against a watch that does not end when its context ends, as
// on an interrupt.
func TestCancel(t *testing.T) {
	m := newFakeMesh(t, []fakeDaemonConfig{{Name: "daemon-1"}})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var stdout, stderr bytes.Buffer
	got := make(chan int, 1)
	go func() {
		got <- Run(ctx, []string{"watch", "--daemon", m.daemons[0].addr.String()}, WithOutput(&stdout, &stderr))
	}()
	select {
	case code := <-got:
		if code != ExitDone {
			t.Errorf("exit code: got %d, want %d; %s", code, ExitDone, fmt.Sprint(&stderr))
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the watch did not end after its context ended")
	}
}
