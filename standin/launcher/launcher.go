// Package launcher starts processes with settings files in one directory,
// waits until they serve, sends them signals and collects their output.
//
// # Usage
//
//	l := launcher.NewLauncher(dir)
//	defer l.Stop(time.Now().Add(10 * time.Second))
//	path, err := l.WriteSettings("booking-1", settings)
//	p, err := l.Start(launcher.Command{
//		Name: "booking-1", Path: binary, Args: []string{"--settings", path},
//		Serves: []netip.AddrPort{callerAddress}, ReadyBy: time.Now().Add(10 * time.Second),
//	})
//	err = p.Signal(syscall.SIGKILL)
//	code, err := p.Wait(time.Now().Add(time.Second))
package launcher

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxOutputBytes limits the output that is kept of each process.
	maxOutputBytes = 4 << 20
	// pollInterval is the time between attempts to connect to a new process.
	pollInterval = 10 * time.Millisecond
	// rootModulePath is the path of the module that is released.
	rootModulePath = "github.com/kingcuppitch/kingcuppitch"
)

// Command describes a process and when it counts as serving.
type Command struct {
	Name string
	Path string
	Args []string
	// Serves lists TCP addresses that accept connections once the process
	// serves.
	Serves []netip.AddrPort
	// ReadyBy is the deadline for the process to serve.
	ReadyBy time.Time
}

// Launcher starts processes and stops the ones that it started.
type Launcher interface {
	// WriteSettings writes v as TOML to the file name.toml.
	WriteSettings(name string, v any) (path string, err error)
	// Start starts a process and waits until it serves. If it does not, the error
	// contains the end of its output.
	Start(c Command) (Process, error)
	// Stop ends all processes: SIGTERM, and SIGKILL from the given time on.
	Stop(killAt time.Time)
}

// Process is a started process.
type Process interface {
	Name() string
	PID() int
	// Signal sends a signal. It returns an error if the process has ended.
	Signal(sig syscall.Signal) error
	// Wait waits for the end of the process and returns its exit status, which is -1
	// if a signal ended it. It returns an error if the process still runs at until.
	Wait(until time.Time) (code int, err error)
	// Done is closed when the process has ended.
	Done() <-chan struct{}
	// Output returns the combined standard output and standard error, up to a limit.
	Output() string
}

type launcher struct {
	dir        string
	startFuncs chan func()

	mu        sync.Mutex
	processes []*process
}

// NewLauncher returns a launcher with its files in dir.
func NewLauncher(dir string) Launcher {
	l := &launcher{dir: dir, startFuncs: make(chan func())}
	// Linux sends the parent death signal when the thread that started the child
	// ends, so one locked thread starts all children and never ends.
	go func() {
		runtime.LockOSThread()
		for f := range l.startFuncs {
			f()
		}
	}()
	return l
}

// WriteSettings implements Launcher.
func (l *launcher) WriteSettings(name string, v any) (path string, err error) {
	defer func() { err = eris.Wrapf(err, "write settings of %s", name) }()
	data, err := toml.Marshal(v)
	if err != nil {
		return "", err
	}
	path = filepath.Join(l.dir, name+".toml")
	return path, os.WriteFile(path, data, 0o600)
}

// Start implements Launcher.
func (l *launcher) Start(c Command) (_ Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", c.Name) }()
	p := &process{name: c.Name, cmd: exec.Command(c.Path, c.Args...), done: make(chan struct{})} //nolint:gosec // the caller names the program
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	p.cmd.Dir = l.dir
	p.cmd.SysProcAttr = sysProcAttr()
	started := make(chan error)
	l.startFuncs <- func() { started <- p.cmd.Start() }
	if err = <-started; err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	for _, addr := range c.Serves {
		if err = p.awaitServing(addr, c.ReadyBy); err != nil {
			_ = p.cmd.Process.Kill()
			return nil, fmt.Errorf("%w; output:\n%s", err, tail(p.Output(), 2000))
		}
	}
	return p, nil
}

// Stop implements Launcher.
func (l *launcher) Stop(killAt time.Time) {
	l.mu.Lock()
	processes := slices.Clone(l.processes)
	l.processes = nil
	l.mu.Unlock()
	for _, p := range processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		if _, err := p.Wait(killAt); err != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

type process struct {
	name string
	cmd  *exec.Cmd
	out  outputBuffer
	done chan struct{}
}

// Name implements Process.
func (p *process) Name() string { return p.name }

// PID implements Process.
func (p *process) PID() int { return p.cmd.Process.Pid }

// Signal implements Process.
func (p *process) Signal(sig syscall.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.name)
}

// Done implements Process.
func (p *process) Done() <-chan struct{} { return p.done }

// Output implements Process.
func (p *process) Output() string { return p.out.String() }

// Wait implements Process.
func (p *process) Wait(until time.Time) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(time.Until(until)):
		return 0, eris.Errorf("%s has not ended", p.name)
	}
}

func (p *process) awaitServing(addr netip.AddrPort, until time.Time) error {
	for {
		c, err := net.DialTimeout("tcp", addr.String(), time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-p.done:
			return eris.Errorf("exited with status %d before it served", p.cmd.ProcessState.ExitCode())
		case <-time.After(pollInterval):
		}
		if time.Now().After(until) {
			return eris.Wrapf(err, "does not accept connections on %v", addr)
		}
	}
}

// outputBuffer keeps the first maxOutputBytes bytes that are written to it.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.Write(p[:min(len(p), maxOutputBytes-o.buf.Len())])
	return len(p), nil
}

// String returns the kept bytes.
func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// Build builds the packages of the workspace into dir.
func Build(ctx context.Context, dir string, packages ...string) error {
	args := append([]string{"build", "-buildvcs=false", "-o", dir + string(filepath.Separator)}, packages...)
	_, err := runGo(ctx, args...)
	return eris.Wrap(err, "build")
}

// RootDir returns the directory of the module that is released.
func RootDir(ctx context.Context) (string, error) {
	out, err := runGo(ctx, "list", "-m", "-f", "{{.Dir}}", rootModulePath)
	return strings.TrimSpace(out), eris.Wrap(err, "find the root module")
}

func runGo(ctx context.Context, args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, "go", args...) //nolint:gosec // the program is fixed
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", eris.Wrap(err, tail(stderr.String(), 4000))
	}
	return stdout.String(), nil
}
