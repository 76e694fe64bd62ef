package e2e_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// exitRefused is the exit code of the client after a refusal.
const exitRefused = 2

// operation is one command of an operator and its result.
type operation struct {
	// resource is the one that the command changes.
	resource string
	author   string
	// value is the name that the command puts in force, if any.
	value string
	args  []string

	code   int
	result struct {
		Result       string
		Version      int64
		Winner       int64
		WinnerAuthor string
		Reason       string
	}
	stderr string
}

// run runs the command through one daemon alone.
func (o *operation) run(t *testing.T, n *fleet.Node) {
	var stdout, stderr bytes.Buffer
	args := append([]string{"--daemon", n.Settings.PeerAddress.String(), "--output", "json", "--timeout", "30s"}, o.args...)
	cmd := exec.CommandContext(t.Context(), bin.Client, append(args, "--author", o.author)...) //nolint:gosec // a program that was built here
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	o.stderr = stderr.String()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		o.code = exit.ExitCode()
	} else if err != nil {
		t.Errorf("%q: %v", o.args, err)
		return
	}
	if err := json.Unmarshal(stdout.Bytes(), &o.result); err != nil {
		t.Errorf("%q: got exit code %d and output %q, %v", o.args, o.code, stdout.String(), err)
	}
}

// editConfig writes a copy of the configuration of testdata to a file.
func editConfig(t *testing.T, edit func(string) string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.toml")
	if err := os.WriteFile(path, []byte(edit(string(data))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func withPresets(s string) string {
	for _, name := range []string{"maintenance", "peak"} {
		s += fmt.Sprintf("\n[[presets]]\nname = %q\nshed = [\"browse\", \"lookup\", \"reserve\"]\nretryPercent = 10\ncanaryPercent = 5\n", name)
	}
	return s
}

// bases returns the base of each record of an operator on the log, by offset.
func bases(t *testing.T, f *fleet.Fleet) map[int64]int64 {
	t.Helper()
	res, err := http.Get("http://" + f.LogAddress.String() + "/streams/" + record.Stream)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var page struct {
		Records []struct {
			Offset int64
			Data   []byte
		}
	}
	if err := json.NewDecoder(res.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	out := make(map[int64]int64)
	for _, e := range page.Records {
		if rec, err := record.Decode(e.Data); err == nil && rec.Kind != record.KindSnapshot {
			out[e.Offset] = rec.Base
		}
	}
	return out
}

// awaitSame waits until all daemons hold the same state and returns the
// statuses; the log must be at rest.
func awaitSame(t *testing.T, f *fleet.Fleet, until time.Time) []*wirev1.StatusResponse {
	t.Helper()
	for {
		var all []*wirev1.StatusResponse
		same := true
		for _, n := range f.Nodes {
			s, err := f.Status(t.Context(), n)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, s)
			same = same && s.Serving && s.Offset == all[0].Offset && s.StateHash == all[0].StateHash
		}
		if same {
			return all
		}
		if time.Now().After(until) {
			for _, s := range all {
				t.Errorf("%s has offset %d, state hash %s and serving %v", s.Daemon, s.Offset, s.StateHash, s.Serving)
			}
			t.Fatal("the daemons don't hold the same state")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against changes of operators that overwrite each other, a record that
// is applied twice or reported as refused because the log lost an answer, and
// daemons that disagree about the winner or the preset in force.
func TestOperatorsRace(t *testing.T) {
	const (
		rounds = 3
		// allSent is the time in which all clients read the base and send their
		// records, which wait in the daemons until the log is back.
		allSent = 2 * time.Second
	)
	f := start(t)
	client(t, f, "publish", "--wait", editConfig(t, withPresets))
	var lost int64
	for round := range rounds {
		before := awaitSame(t, f, time.Now().Add(inForce))[0]
		var ops []*operation
		for i, preset := range []string{"ordinary", "peak", "maintenance"} {
			edited := editConfig(t, func(s string) string {
				return strings.Replace(withPresets(s), `answerWithin = "3s"`, fmt.Sprintf("answerWithin = \"%dms\"", 2000+100*round+10*i), 1)
			})
			ops = append(ops,
				&operation{resource: "route", args: []string{"publish", "--base", fmt.Sprint(before.Offset), edited}},
				&operation{resource: "preset", value: preset, args: []string{"preset", "set", preset}},
				&operation{resource: "zone", args: []string{"zone", "out", f.Nodes[round].Zone}},
			)
		}
		if err := f.SetLogFaults(t.Context(), logservice.Faults{Outage: true}); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for i, o := range ops {
			o.author = fmt.Sprintf("operator-%d-%d", round, i)
			wg.Go(func() { o.run(t, f.Nodes[(i+round)%len(f.Nodes)]) })
		}
		time.Sleep(allSent)
		if err := f.SetLogFaults(t.Context(), logservice.Faults{LoseAnswers: 0.5}); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
		if err := f.SetLogFaults(t.Context(), logservice.Faults{}); err != nil {
			t.Fatal(err)
		}
		after := awaitSame(t, f, time.Now().Add(inForce))
		// A base at or after the first record of the round would mean that an
		// operator saw the change of another.
		base := bases(t, f)
		first := after[0].Offset
		for offset := range base {
			if offset > before.Offset {
				first = min(first, offset)
			}
		}
		for offset, b := range base {
			if offset >= first && b >= first {
				t.Errorf("round %d: record %d has base %d, want one below %d; the operators did not race", round, offset, b, first)
			}
		}
		for _, resource := range []string{"route", "preset", "zone"} {
			checkRace(t, ops, resource)
		}
		for _, o := range ops {
			if o.resource != "preset" || o.code != 0 {
				continue
			}
			awaitPreset(t, f, o.value, time.Now().Add(inForce))
		}
		stats, err := f.LogStats(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("round %d: %d operations made %d records, %d answers lost", round, len(ops), after[0].Offset-before.Offset, stats.LostAnswers-lost)
		lost = stats.LostAnswers
	}
	if lost == 0 {
		t.Error("the log lost no answer")
	}
}

// awaitPreset waits until the preset is in force on all daemons; a preset is
// activated some time after its record.
func awaitPreset(t *testing.T, f *fleet.Fleet, name string, until time.Time) {
	t.Helper()
	for _, n := range f.Nodes {
		for {
			s, err := f.Status(t.Context(), n)
			if err == nil && s.Preset == name {
				break
			}
			if time.Now().After(until) {
				t.Errorf("%s has preset %q in force, %v; want %q", n.Name, s.GetPreset(), err, name)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRace checks that exactly one operation on a resource won and that each
// other one was refused with the name of the winner.
func checkRace(t *testing.T, ops []*operation, resource string) {
	t.Helper()
	var winner *operation
	for _, o := range ops {
		if o.resource != resource || o.code != 0 {
			continue
		}
		if winner != nil {
			t.Errorf("%s: %q and %q both won", resource, winner.args, o.args)
		}
		winner = o
	}
	if winner == nil {
		t.Errorf("%s: no operation won", resource)
	}
	for _, o := range ops {
		if o.resource != resource || o == winner {
			continue
		}
		if r := o.result; winner == nil || o.code != exitRefused || r.Winner != winner.result.Version || r.WinnerAuthor != winner.author {
			t.Errorf("%q by %s: got exit code %d and %+v, want code %d and the winner of %s\n%s", o.args, o.author, o.code, r, exitRefused, resource, o.stderr)
		}
	}
}
