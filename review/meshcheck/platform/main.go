// Command meshcheck plays one case of the review: it starts a store, servers and clients
// as stand-ins, starts daemons as processes, and checks a rule by what clients and servers
// saw.
//
// # Usage
//
//	meshcheck CASE DIRECTORY
//
// The directory receives record.txt. With TROUBLE=0 in the environment the case is played
// without its disruption. The exit status is 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 118 * time.Second

// mesh is a small deployment with its stand-ins.
type mesh struct {
	dir     string
	trouble bool
	store   *store
	daemons []*daemon
	servers []*server
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name; each file of a case adds its own.
var cases = make(map[string]func(*mesh) (verdict, error))

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: meshcheck CASE DIRECTORY")
		return 2
	}
	dir, err := os.MkdirTemp("", "meshcheck")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	m := &mesh{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer m.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		m.note("the case is given up")
		m.stop()
		os.Exit(2)
	}()
	if m.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	m.note("case %s, disruption: %t", os.Args[1], m.trouble)
	v, err := cases[os.Args[1]](m)
	if err != nil {
		m.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	m.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}

// note writes a line to the record with the time since the start.
func (m *mesh) note(format string, args ...any) { m.noteAt(time.Now(), format, args...) }

func (m *mesh) noteAt(at time.Time, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(m.record, "%9.3f  %s\n", at.Sub(m.began).Seconds(), fmt.Sprintf(format, args...))
}

func (m *mesh) stop() {
	for _, d := range m.daemons {
		d.stop()
	}
	for _, s := range m.servers {
		s.crash()
	}
}

// addMachine adds a machine: a server and the settings of its daemon. Neither is started.
func (m *mesh) addMachine(name, zone, service string, slots int, work func() time.Duration) (*daemon, *server) {
	d := &daemon{
		name: name, zone: zone, service: service, caller: freeAddr(), peer: freeAddr(), announce: freeAddr(), ready: freeAddr(),
		metrics: freeAddr(), upstream: freeAddr(), dir: m.dir,
	}
	s := &server{id: "i-" + newID()[:8], service: service, version: "v1", zone: zone, slots: slots, work: work, announce: d.announce}
	m.daemons, m.servers = append(m.daemons, d), append(m.servers, s)
	return d, s
}

// startAll starts all servers and daemons and waits until the daemons are ready and
// requests are served.
func (m *mesh) startAll() error {
	for i, d := range m.daemons {
		if err := m.servers[i].start(d.upstream); err != nil {
			return err
		}
		if err := d.writeSettings(m.store.addr()); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, s := range m.servers {
		go s.beats(1500 * time.Millisecond)
	}
	for _, d := range m.daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return fmt.Errorf("%w; its output: %.2000s", err, d.output)
		}
	}
	// Traffic starts 8 s after the machines in the small deployments.
	time.Sleep(5 * time.Second)
	m.note("%d daemons are ready", len(m.daemons))
	return nil
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, service, kind string
	timeoutMs, sloMs, priority        int
}

// publish writes a configuration.
func (m *mesh) publish(version int, services []string, coldPerS float64, routes ...route) {
	type object = map[string]any
	var list, upstreams []object
	for _, r := range routes {
		list = append(list, object{
			"name": r.name, "host": r.host, "pathPrefix": r.prefix, "service": r.service, "kind": r.kind,
			"timeoutMs": r.timeoutMs, "sloMs": r.sloMs, "attempts": 2, "priority": r.priority,
		})
	}
	for _, name := range services {
		upstreams = append(upstreams, object{"name": name, "healthPath": "/health", "maxConns": 120, "warmupS": 3, "coldPerS": coldPerS})
	}
	m.store.write("keyed.op", "config", object{
		"version": version, "routes": list, "services": upstreams,
		"limits": object{"maxHeaderBytes": 16 << 10, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	m.note("configuration %d is acknowledged", version)
}

// noteAll writes all attempts and runs to the record.
func (m *mesh) noteAll(l *log) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, a := range l.all() {
		lines = append(lines, line{a.sent, fmt.Sprintf("%s %s %s sent to %s; ended after %d ms: %s", a.id, a.method, a.path, a.daemon, a.ended.Sub(a.sent).Milliseconds(), a.outcome())})
	}
	for _, s := range m.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			end := "it has not ended"
			if !r.end.IsZero() {
				end = fmt.Sprintf("until %.3f, answered: %t", r.end.Sub(m.began).Seconds(), r.completed)
			}
			lines = append(lines, line{r.start, fmt.Sprintf("%s %s %s runs at %s for %s, %s", r.id, r.method, r.path, r.server, r.caller, end)})
		}
		s.mu.Unlock()
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, ln := range lines {
		m.noteAt(ln.at, "%s", ln.text)
	}
}

// noteAttempts writes the attempts of a log to the record, without the runs.
func (m *mesh) noteAttempts(l *log) {
	for _, a := range l.all() {
		m.noteAt(a.sent, "%s %s %s sent to %s; ended after %d ms: %s", a.id, a.method, a.path, a.daemon, a.ended.Sub(a.sent).Milliseconds(), a.outcome())
	}
}

// runsByID returns the runs of all servers by the id of the request.
func (m *mesh) runsByID() map[string][]*run {
	runs := make(map[string][]*run)
	for _, s := range m.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		s.mu.Unlock()
	}
	return runs
}
