package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// servesOn is how long a draining server serves on after the acknowledgement.
const servesOn = drainMs + 4*time.Second

// foreignBeat sends a heartbeat of another writer for a server. Its field zone is missing,
// so it names no server to use.
func (m *mesh) foreignBeat(s *server) error {
	body, _ := json.Marshal(map[string]any{
		"address": s.machine.appAddr, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": s.version, "maxConcurrency": s.slots},
		"status": map[string]any{"state": "ready", "seq": 1, "coldLeftMs": 0},
	})
	res, err := http.Post(fmt.Sprintf("http://%s/kingcuppitch/instances/%s/heartbeat", s.machine.control, s.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	m.rec.note("another writer sends a heartbeat without a zone for %s, answered %d: %s", s.id, res.StatusCode, body)
	return nil
}

func init() { cases["foreignHeartbeat"] = foreignHeartbeat }

// foreignHeartbeat: another writer sends one heartbeat with a field missing; much later the
// server itself drains.
func foreignHeartbeat(m *mesh, trouble bool) (broken string, err error) {
	const service = "huvo11a"
	for i, zone := range m.zones {
		mc, err := m.addMachine(service, zone)
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
	log, stop := m.startClients(8)
	time.Sleep(4 * time.Second)
	s := m.servers[0]
	if trouble {
		if err := m.foreignBeat(s); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	acked, err := s.drain()
	if err != nil {
		return "", err
	}
	time.Sleep(servesOn)
	s.leave()
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	before, late, ran := 0, 0, 0
	for _, a := range s.arrived() {
		switch {
		case a.status == http.StatusMisdirectedRequest:
		case a.at.After(acked.Add(drainMs)):
			late++
			if a.ran {
				ran++
			}
		case a.at.Before(acked):
			before++
		}
	}
	cut := 0
	for _, a := range log.all() {
		if a.sent.After(acked) && a.status/100 != 2 {
			cut++
		}
	}
	m.rec.note("%d requests reached the server before it said that it drains, %d later than %v after the acknowledgement, of which it ran %d; %d requests of clients failed after it",
		before, late, drainMs, ran, cut)
	if late > 0 {
		return fmt.Sprintf("%d requests reached the server later than %v after its leaving was acknowledged", late, drainMs), nil
	}
	return "", nil
}
