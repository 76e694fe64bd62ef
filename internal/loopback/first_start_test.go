package loopback

import (
	"context"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// childVariable is set in the environment of the processes that TestFirstStart starts.
const childVariable = "LOOPBACK_TEST_CHILD"

// TestFirstStart guards against a free address that is in use for a moment, because the
// check that precedes the first start of a process has inherited its listener.
func TestFirstStart(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		listenWhileStarting(t)
		return
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// Each process makes the check once.
	for range 40 {
		cmd := exec.CommandContext(t.Context(), exe, "-test.run=^TestFirstStart$")
		cmd.Env = append(os.Environ(), childVariable+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	}
}

// listenWhileStarting listens on free addresses while the first processes are started.
func listenWhileStarting(t *testing.T) {
	until := time.Now().Add(30 * time.Millisecond)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				addrs, err := FreeAddresses(1)
				if err != nil {
					t.Error(err)
					return
				}
				ln, err := net.Listen("tcp", addrs[0].String())
				if err != nil {
					t.Error(err)
					return
				}
				_ = ln.Close()
				if i == 20 {
					_ = exec.CommandContext(context.Background(), "true").Run()
				}
			}
		})
	}
	wg.Wait()
}
