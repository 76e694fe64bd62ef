package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	readyEvery   = time.Second
	memoryEvery  = 10 * time.Millisecond
)

// bounds are the contractParams of kit/more/system/sites/korkol-mesh.toml.
const (
	stableWindow  = 3000 * time.Millisecond
	drainMs       = 2000 * time.Millisecond
	graceS        = 6
	configApply   = 2000 * time.Millisecond
	rollbackAfter = 5000 * time.Millisecond
	exposeShare   = 0.1
	exposeSlack   = 50
	memoryMb      = 134
)

// machine is a sidecar machine: a daemon, and the addresses of the server beside it.
type machine struct {
	name, zone, region, ip, service string
	outbound, inbound, control      string
	readiness, appAddr              string
	firstPort                       int
	mesh                            *mesh

	mu sync.Mutex
	// cmd is the running daemon; stopping says that it is not to be started again.
	cmd      *exec.Cmd
	stopping bool
	done     chan struct{}
	starts   int
	// out says that the platform sends the clients elsewhere.
	out bool
	// ends holds the times at which the daemon ended though nobody stopped it.
	ends []time.Time
}

// mesh is a small deployment.
type mesh struct {
	root, dir string
	rec       *record
	store     *store
	zones     []string
	machines  []*machine
	servers   []*server
	// starter starts all children on one thread that never ends, since the parent death
	// signal is sent when that thread ends.
	starter chan func()
	// memoryBytes bounds the memory of a daemon; zero means that it is not watched.
	memoryBytes int64
	// descriptors bounds the descriptors of a daemon; zero means that they are not bounded.
	descriptors uint64
	// peak is the largest memory seen.
	peakMu sync.Mutex
	peak   map[string]int64
}

func newMesh(root string, rec *record) (*mesh, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	st, err := startStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	m := &mesh{root: root, dir: dir, rec: rec, store: st, zones: []string{"bud-a", "bud-b", "bud-c"}, starter: make(chan func()), peak: make(map[string]int64)}
	go func() {
		runtime.LockOSThread()
		for f := range m.starter {
			f()
		}
	}()
	return m, nil
}

// freePorts returns n ports that are free on an address.
func freePorts(ip string, n int) (ports []int, err error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addMachine adds a machine for a server of a service and starts its daemon.
func (m *mesh) addMachine(service, zone string) (*machine, error) {
	n := len(m.machines) + 1
	ip := fmt.Sprintf("127.0.1.%d", n)
	p, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}
	addr := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(p[i])) }
	mc := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, region: "hu-central", ip: ip, service: service, mesh: m,
		outbound: addr(0), inbound: addr(1), control: addr(2), readiness: addr(3), appAddr: addr(4), firstPort: p[5],
	}
	m.machines = append(m.machines, mc)
	if err := mc.startDaemon(); err != nil {
		return nil, err
	}
	go mc.watchReadiness()
	return mc, nil
}

// settings returns the fields of DEPLOY.md by their paths.
func (mc *machine) settings() map[string]any {
	zones := make([][2]string, 0, len(mc.mesh.zones))
	for _, z := range mc.mesh.zones {
		zones = append(zones, [2]string{z, "hu-central"})
	}
	return map[string]any{
		"nodeName": mc.name, "region": mc.region, "zone": mc.zone, "service": mc.service, "ip": mc.ip, "appAddr": mc.appAddr,
		"listenAddrs.outbound": mc.outbound, "listenAddrs.inbound": mc.inbound, "listenAddrs.control": mc.control,
		"listenAddrs.readinessAddr": mc.readiness, "portRange.0": mc.firstPort, "platform.address": mc.mesh.store.addr,
		"contractParams.graceS": graceS, "contractParams.retryBudgetRatio": 0.2, "contractParams.retryBudgetSlack": 62,
		"contractParams.exposeShare": exposeShare, "contractParams.coldOver": 1.5, "contractParams.configApplyMs": configApply.Milliseconds(),
		"zones": zones,
	}
}

var (
	section     = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run *= *"([^"]*)"`)
)

// render fills in the template of the settings.
func render(text string, fields map[string]any) (string, error) {
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		inverted, name := text[at[2]:at[3]] == "^", text[at[4]:at[5]]
		before := text[:at[0]]
		body, after, _ := strings.Cut(text[at[1]:], "{{/"+name+"}}")
		value, present := fields[name]
		if present == inverted {
			body = ""
		}
		if list, ok := value.([][2]string); ok {
			var out strings.Builder
			for _, kv := range list {
				out.WriteString(strings.NewReplacer("{{@}}", kv[0], "{{.}}", kv[1]).Replace(body))
			}
			body = out.String()
		}
		text = before + body + after
	}
	var missing []string
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		name := placeholder.FindStringSubmatch(s)[1]
		v, ok := fields[name]
		if !ok {
			missing = append(missing, name)
		}
		return fmt.Sprint(v)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template asks for %v", missing)
	}
	return text, nil
}

// startDaemon starts the daemon with the command of the deploy file.
func (mc *machine) startDaemon() error {
	deploy, err := os.ReadFile(filepath.Join(mc.mesh.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(mc.mesh.root, "deploy/settings.toml"))
	if err != nil {
		return err
	}
	text, err := render(string(template), mc.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(mc.mesh.dir, mc.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("deploy/system.toml names no command")
	}
	words := strings.Fields(strings.ReplaceAll(string(run[1]), "/etc/kingcuppitch/boot.toml", path))
	out, err := os.OpenFile(filepath.Join(mc.mesh.dir, mc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(mc.mesh.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = mc.mesh.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "KINGCUPPITCH_CONFIG=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	mc.mesh.starter <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	if n := mc.mesh.descriptors; n > 0 {
		if err := setDescriptors(cmd.Process.Pid, n); err != nil {
			return err
		}
	}
	mc.mu.Lock()
	mc.cmd, mc.done = cmd, make(chan struct{})
	mc.starts++
	done := mc.done
	mc.mu.Unlock()
	mc.mesh.rec.note("platform starts the daemon of %s, process %d", mc.name, cmd.Process.Pid)
	go mc.watchMemory(cmd.Process.Pid, done)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		close(done)
		mc.ended(err)
	}()
	return nil
}

// ended starts the daemon again unless the platform stopped it.
func (mc *machine) ended(err error) {
	mc.mu.Lock()
	stopping := mc.stopping
	if !stopping {
		mc.ends = append(mc.ends, time.Now())
	}
	mc.mu.Unlock()
	mc.mesh.rec.note("the daemon of %s has ended: %v", mc.name, err)
	if stopping {
		return
	}
	time.Sleep(restartDelay)
	mc.mu.Lock()
	stopping = mc.stopping
	mc.mu.Unlock()
	if !stopping {
		if err := mc.startDaemon(); err != nil {
			mc.mesh.rec.note("the daemon of %s cannot be started: %v", mc.name, err)
		}
	}
}

// watchMemory kills the daemon when it exceeds the memory of its machine, as the platform
// does. Only anonymous memory counts here: neither its program file nor bytes in sockets.
func (mc *machine) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryEvery):
		}
		n := anonymousMemory(pid)
		mc.mesh.peakMu.Lock()
		mc.mesh.peak[mc.name] = max(mc.mesh.peak[mc.name], n)
		mc.mesh.peakMu.Unlock()
		if limit := mc.mesh.memoryBytes; limit > 0 && n > limit {
			mc.mesh.rec.note("platform kills the daemon of %s: it has %d MB of %d MB", mc.name, n>>20, limit>>20)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// peakOf returns the largest memory of the daemon of a machine.
func (m *mesh) peakOf(mc *machine) int64 {
	m.peakMu.Lock()
	defer m.peakMu.Unlock()
	return m.peak[mc.name]
}

func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if f := strings.Fields(string(line)); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchReadiness asks once a second whether the daemon is ready. After two misses the
// clients of the machine get no new work.
func (mc *machine) watchReadiness() {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		res, err := client.Get("http://" + mc.readiness + "/kingcuppitch/ready")
		if err == nil {
			_ = res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		mc.mu.Lock()
		mc.out = misses >= 2
		mc.mu.Unlock()
		time.Sleep(readyEvery)
	}
}

func (mc *machine) isOut() bool {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return mc.out
}

// takesClients reports whether the clients of the machine get new work.
func (mc *machine) takesClients() bool {
	if !mc.isOut() {
		return true
	}
	in, all := 0, 0
	for _, other := range mc.mesh.machines {
		if other.zone == mc.zone {
			all++
			if !other.isOut() {
				in++
			}
		}
	}
	return 2*in < all
}

// stop ends the daemon for good.
func (mc *machine) stop() {
	mc.mu.Lock()
	mc.stopping = true
	cmd, done := mc.cmd, mc.done
	mc.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceS * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
}

// ownEnds returns how often daemons ended though nobody stopped them.
func (mc *machine) ownEnds() []time.Time {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return slices.Clone(mc.ends)
}

// addServer starts a server beside the daemon of a machine.
func (m *mesh) addServer(mc *machine, id, version string, born time.Time, work time.Duration, failShare float64) (*server, error) {
	s := &server{id: id, service: mc.service, version: version, machine: mc, born: born, slots: 12, work: work, failShare: failShare, rec: m.rec}
	m.servers = append(m.servers, s)
	return s, s.start()
}

// awaitReady waits until all daemons say that they are ready.
func (m *mesh) awaitReady(until time.Time) error {
	for time.Now().Before(until) {
		ready := true
		for _, mc := range m.machines {
			res, err := http.Get("http://" + mc.readiness + "/kingcuppitch/ready")
			if err != nil {
				ready = false
				continue
			}
			_ = res.Body.Close()
			ready = ready && res.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the daemons are not ready in time; their output is in %s", m.dir)
}

// close ends all processes and servers of the case.
func (m *mesh) close() {
	for _, s := range m.servers {
		s.cancel()
		_ = s.http.Close()
	}
	var wg sync.WaitGroup
	for _, mc := range m.machines {
		wg.Go(func() {
			mc.mu.Lock()
			mc.stopping = true
			cmd, done := mc.cmd, mc.done
			mc.mu.Unlock()
			if cmd != nil {
				_ = cmd.Process.Kill()
				<-done
			}
		})
	}
	wg.Wait()
	_ = m.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	} else {
		fmt.Println("kept", m.dir)
	}
}
