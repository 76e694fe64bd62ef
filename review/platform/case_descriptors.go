package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// maxFds is the number of descriptors of a daemon. Of these, reservedFds are for files,
	// and sockets share the rest; ownFds is more than the files that a daemon has open.
	maxFds, reservedFds, ownFds = 4100, 200, 20
	// perMachine is the rate of requests at a machine, as on the day scale-2 of the site in
	// the zone bud-c: 470 a second at three machines.
	perMachine = 157
	// burstX and burstFor are the dose of a burst in the site's list of troubles.
	burstX, burstFor = 1.7, 3 * time.Second
	// evacuatedFor is how long a zone is out, as on the days of the site.
	evacuatedFor = 60 * time.Second
	// endsAllowed is the number of ends of its own that a machine may have.
	endsAllowed = 2
)

// evacuated is when the zone is emptied, and bursts holds when bursts begin, in seconds from the start of traffic.
const evacuated = 9

var bursts = []int{10, 14, 18, 22, 31, 35, 39, 43, 52, 56, 60, 64}

// setDescriptors sets the limit of descriptors of a process.
func setDescriptors(pid int, n uint64) error {
	lim := syscall.Rlimit{Cur: n, Max: n}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&lim)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

func init() { cases["descriptors"] = descriptors }

// descriptors: a zone is evacuated, and many users come at once, again and again.
func descriptors(m *mesh, trouble bool) (broken string, err error) {
	const service = "huvo11a"
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil || lim.Cur < 4*maxFds {
		return "", fmt.Errorf("the stand-ins need %d descriptors, there are %d", 4*maxFds, lim.Cur)
	}
	m.descriptors = maxFds - reservedFds + ownFds
	m.rec.quiet = true
	for i, zone := range m.zones {
		mc, err := m.addMachine(service, zone)
		if err != nil {
			return "", err
		}
		if _, err := m.addServer(mc, fmt.Sprintf("i-7f3a91c%d", i), "v1", time.Now(), 66*time.Millisecond, 0); err != nil {
			return "", err
		}
	}
	m.publish(7, []string{service}, standardRoutes(service))
	if err := m.awaitReady(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var crowds []*crowd
	var wg sync.WaitGroup
	for _, mc := range m.machines {
		c := &crowd{machine: mc, perSecond: perMachine}
		crowds = append(crowds, c)
		wg.Go(func() { c.run(stop) })
	}
	start := time.Now()
	for second := 1; second <= 80; second++ {
		time.Sleep(time.Until(start.Add(time.Duration(second) * time.Second)))
		x := 1.0
		for _, at := range bursts {
			if trouble && second >= at && second < at+int(burstFor.Seconds()) {
				x = burstX
			}
			if trouble && second == at {
				m.rec.note("many users come at once: %.1f times the traffic for %v", burstX, burstFor)
			}
		}
		if trouble && second == evacuated {
			m.store.put("keyed.op", "evacuate/"+m.zones[1], []byte("{}"))
			m.rec.note("operator evacuates %s", m.zones[1])
		}
		if trouble && second == evacuated+int(evacuatedFor.Seconds()) {
			m.store.put("keyed.op", "evacuate/"+m.zones[1], nil)
			m.rec.note("operator takes %s back", m.zones[1])
		}
		for _, c := range crowds {
			c.setBurst(x)
			c.report(m.rec)
		}
		for _, s := range m.servers {
			ran, refused := s.tally()
			m.rec.line(time.Now(), "server %s: ran %d and refused %d requests in the last second", s.id, ran, refused)
		}
	}
	close(stop)
	wg.Wait()
	ran := make(map[string]bool)
	for _, s := range m.servers {
		for _, a := range s.arrived() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	ended := 0
	for _, c := range crowds {
		mc, n, lost := c.machine, len(c.machine.ownEnds()), 0
		for _, id := range c.cut {
			if ran[id] {
				lost++
			}
		}
		m.rec.note("the daemon of %s ended by itself %d times: %s; %d requests on kept connections were cut, %d of them had been run", mc.name, n, m.lastWords(mc), len(c.cut), lost)
		if n > endsAllowed {
			ended++
		}
	}
	if ended >= 2 {
		return fmt.Sprintf("on %d of %d machines the daemon ended by itself three times", ended, len(m.machines)), nil
	}
	return "", nil
}

// lastWords returns the errors with which a daemon ended.
func (m *mesh) lastWords(mc *machine) string {
	data, _ := os.ReadFile(m.dir + "/" + mc.name + ".log")
	var out []string
	for line := range strings.Lines(string(data)) {
		if _, text, ok := strings.Cut(line, `"daemon failed"`); ok {
			if _, text, ok = strings.Cut(text, `"error":`); ok {
				out = append(out, strings.TrimRight(text, "}\n"))
			}
		}
	}
	return strings.Join(out, "; ")
}
