package launcher_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/standin/launcher"
)

// Guards against processes that still run after Stop, in particular paused ones, and
// against lost output.
func TestStopEndsPausedProcesses(t *testing.T) {
	l := launcher.NewLauncher(t.TempDir())
	p, err := l.Start(launcher.Command{Name: "sleeper", Path: "/bin/sh", Args: []string{"-c", "echo begun; exec sleep 60"}})
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); p.Output() == "" && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if got, want := p.Output(), "begun\n"; got != want {
		t.Errorf("output: got %q, want %q", got, want)
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	l.Stop(time.Now().Add(5 * time.Second))
	select {
	case <-p.Done():
	default:
		t.Error("the process still runs after Stop")
	}
}

// Guards against a wait for a process that has ended, and against an error that
// doesn't show why it ended.
func TestStartReportsAnEarlyEnd(t *testing.T) {
	addrs, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	l := launcher.NewLauncher(t.TempDir())
	begin := time.Now()
	_, err = l.Start(launcher.Command{
		Name: "broken", Path: "/bin/sh", Args: []string{"-c", "echo bad key >&2; exit 7"},
		Serves: addrs, ReadyBy: begin.Add(30 * time.Second),
	})
	if err == nil || !strings.Contains(err.Error(), "status 7") || !strings.Contains(err.Error(), "bad key") {
		t.Errorf("got %v, want the exit status and the output", err)
	}
	if got := time.Since(begin); got > 10*time.Second {
		t.Errorf("got the error after %v, want it when the process ends", got)
	}
}
