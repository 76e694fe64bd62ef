package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// uploadBytes is the size of a large body. The configuration allows 64 MiB.
	uploadBytes = 60 << 20
	// lostAllowed is the number of requests that a machine may lose.
	lostAllowed = 3
)

func init() { cases["largeBody"] = largeBody }

// largeBody: clients upload bodies that the configuration allows, while others use the
// machines as usual.
func largeBody(m *mesh, trouble bool) (broken string, err error) {
	const service = "huvo11a"
	m.memoryBytes = memoryMb << 20
	for i := range 3 {
		mc, err := m.addMachine(service, m.zones[i])
		if err != nil {
			return "", err
		}
		if _, err := m.addServer(mc, fmt.Sprintf("i-7f3a91c%d", i), "v1", time.Now(), 60*time.Millisecond, 0); err != nil {
			return "", err
		}
	}
	m.publish(7, []string{service}, standardRoutes(service))
	if err := m.awaitReady(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	log, stop := m.startClients(10)
	time.Sleep(5 * time.Second)
	size := 300
	if trouble {
		size = uploadBytes
	}
	body := bytes.Repeat([]byte("x"), size)
	for i := range 6 {
		mc := m.machines[i%len(m.machines)]
		m.rec.note("a client at %s sends a body of %d bytes", mc.name, size)
		c := &client{machine: mc, log: log}
		a := c.send(reserve, body)
		c.close()
		m.rec.note("its answer: status %d, server %q, error %v", a.status, a.servedBy, a.err)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	return m.judgeLost(log), nil
}

// judgeLost counts the requests on kept connections that a machine passed on to a server
// and whose connection it closed without an answer. A daemon that exceeds the memory of
// its machine ends by itself, so the machine counts as in touch.
func (m *mesh) judgeLost(log *attemptLog) (broken string) {
	ran := make(map[string]bool)
	for _, s := range m.servers {
		for _, a := range s.arrived() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	lost, once := make(map[*machine]int), make(map[*machine]int)
	for _, a := range log.all() {
		var ne net.Error
		if errors.As(a.err, &ne) && ne.Timeout() {
			continue // the client's deadline has passed
		}
		if a.kept && a.status == 0 && a.err != nil && ran[a.id] {
			lost[a.machine]++
			if !a.route.idempotent {
				once[a.machine]++
			}
		}
	}
	for _, mc := range m.machines {
		m.rec.note("%s: peak %d MB, ended by itself %d times; %d requests on kept connections were run by a server and their connection closed without an answer, %d of them must not be repeated",
			mc.name, m.peakOf(mc)>>20, len(mc.ownEnds()), lost[mc], once[mc])
		if lost[mc] > lostAllowed {
			broken += fmt.Sprintf("%s lost %d requests; ", mc.name, lost[mc])
		}
	}
	return broken
}
