package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// program is the daemon as the deploy file builds it, relative to the repository.
const program = "target/kingcuppitchd"

// daemon is one process of the system with the addresses of its machine.
type daemon struct {
	name, zone, service                    string
	caller, peer, announce, ready, metrics string
	upstream                               string
	settings                               string
	dir                                    string
	cmd                                    *exec.Cmd
	done                                   chan struct{}
	output                                 *output
	startedAt                              time.Time
}

// output reads the standard output of a process. While it is paused nothing reads the
// pipe.
type output struct {
	mu     sync.Mutex
	cond   *sync.Cond
	paused bool
	buf    bytes.Buffer
	pipe   *os.File
}

// unread returns the number of bytes that wait in the pipe.
func (o *output) unread() int {
	raw, err := o.pipe.SyscallConn()
	if err != nil {
		return 0
	}
	var n int32
	_ = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	})
	return int(n)
}

func (o *output) setPaused(paused bool) {
	o.mu.Lock()
	o.paused = paused
	o.mu.Unlock()
	o.cond.Broadcast()
}

func (o *output) read(r io.Reader) {
	b := make([]byte, 16<<10)
	for {
		o.mu.Lock()
		for o.paused {
			o.cond.Wait()
		}
		o.mu.Unlock()
		n, err := r.Read(b)
		o.mu.Lock()
		if o.buf.Len() < 8<<20 {
			o.buf.Write(b[:n])
		}
		o.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// nextPort is the next port that freeAddr tries. The range lies below that of outgoing
// connections.
var nextPort = 18000 + rand.IntN(8000)

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	for ; nextPort < 32000; nextPort++ {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			nextPort++
			return addr
		}
	}
	panic("no free port")
}

// zones are those of the small deployment.
var zones = []string{"bud-a", "bud-b", "bud-c"}

// writeSettings renders deploy/settings.toml with the values of a small deployment.
func (d *daemon) writeSettings(store string) error {
	text := fmt.Sprintf(`platform = true
name = %q
region = "hu-central"
zone = %q
service = %q
callerAddress = %q
peerAddress = %q
announceAddress = %q
readyAddress = %q
metricsAddress = %q
logAddress = %q
upstreamAddress = %q
graceSeconds = 6
logLevel = "info"

[bounds]
retryRatio = 0.2
retrySlack = 62
canaryShare = 0.1
coldFactor = 1.5
applyMs = 2000

[zones]
"bud-a" = "hu-central"
"bud-b" = "hu-central"
"bud-c" = "hu-central"
`, d.name, d.zone, d.service, d.caller, d.peer, d.announce, d.ready, d.metrics, store, d.upstream)
	d.settings = filepath.Join(d.dir, d.name+".toml")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	// The reader of the pipe is a part of the stand-in for the platform, which collects logs.
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	// The usual capacity of a pipe, whatever the size of a page is here.
	setPipeSize(r, pipeSize)
	o := &output{pipe: r}
	o.cond = sync.NewCond(&o.mu)
	go func() {
		o.read(r)
		_ = r.Close()
	}()
	cmd := exec.Command(program, "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = w, w
	d.startedAt = time.Now()
	err = cmd.Start()
	_ = w.Close()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	d.cmd, d.done, d.output = cmd, done, o
	return nil
}

func (d *daemon) signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

// stop ends the process.
func (d *daemon) stop() {
	if d.cmd == nil {
		return
	}
	d.output.setPaused(false)
	_ = d.cmd.Process.Kill()
	<-d.done
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// isReady asks for readiness as the platform does.
func (d *daemon) isReady() bool {
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + d.ready + "/kingcuppitch/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// pipeSize is the capacity of the pipe with the output of a process.
const pipeSize = 64 << 10

func setPipeSize(f *os.File, size uintptr) {
	const setPipeSz = 1031 // F_SETPIPE_SZ
	raw, err := f.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_FCNTL, fd, setPipeSz, size)
	})
}
