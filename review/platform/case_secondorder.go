package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// moveTime is the time of a roll-out, as in the list of troubles of the site.
	moveTime = 16 * time.Second
	// badShare is the share of the requests that the bad version fails.
	badShare = 0.5
	// newServersDrainAfter is how long after rolled_back the servers of the version drain.
	newServersDrainAfter = 3300 * time.Millisecond
	// nextOrderAfter is how long after rolled_back the operator orders the next version.
	nextOrderAfter = 500 * time.Millisecond
)

// order writes an order to move a service to a version.
func (m *mesh) order(service, version string) time.Time {
	data, _ := json.Marshal(map[string]any{"service": service, "targetVersion": version, "durationS": moveTime.Seconds()})
	at := m.store.put("keyed.op", "rollout/"+service, data)
	m.rec.note("operator orders %s of %s", version, service)
	return at
}

// awaitState waits until the newest report says that the move to a version has the state.
func (m *mesh) awaitState(service, version, state string, until time.Time) error {
	for time.Now().Before(until) {
		var st struct{ State, TargetVersion string }
		if json.Unmarshal(m.store.value("keyed.status", "rollout/"+service), &st) == nil && st.TargetVersion == version && st.State == state {
			m.rec.note("the system reports that %s of %s is %s", version, service, state)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s of %s is not reported %s in time", version, service, state)
}

// addVersion starts three servers of a version on machines of their own.
func (m *mesh) addVersion(service, version string, failShare float64) (list []*server, err error) {
	for i, zone := range m.zones {
		mc, err := m.addMachine(service, zone)
		if err != nil {
			return nil, err
		}
		s, err := m.addServer(mc, fmt.Sprintf("i-%s-%d", version, i), version, time.Now(), 60*time.Millisecond, failShare)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func init() { cases["secondOrder"] = secondOrder }

// secondOrder: a bad version v10 is brought in beside v9 and taken back, and the operator
// orders v11 at once, while the servers of v10 still run.
func secondOrder(m *mesh, trouble bool) (broken string, err error) {
	const service = "huvo11a"
	if _, err := m.addVersion(service, "v9", 0); err != nil {
		return "", err
	}
	m.publish(7, []string{service}, standardRoutes(service))
	if err := m.awaitReady(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	log, stop := m.startClients(8)
	time.Sleep(5 * time.Second)
	bad, err := m.addVersion(service, "v10", badShare)
	if err != nil {
		return "", err
	}
	ordered := m.order(service, "v10")
	if err := m.awaitState(service, "v10", "rolled_back", ordered.Add(moveTime)); err != nil {
		return "", err
	}
	back := time.Now()
	if trouble {
		time.Sleep(time.Until(back.Add(nextOrderAfter)))
		if _, err := m.addVersion(service, "v11", 0); err != nil {
			return "", err
		}
		m.order(service, "v11")
	}
	time.Sleep(time.Until(back.Add(newServersDrainAfter)))
	for _, s := range bad {
		if _, err := s.drain(); err != nil {
			return "", err
		}
	}
	time.Sleep(drainMs + time.Second)
	for _, s := range bad {
		s.leave()
	}
	deadline := ordered.Add(moveTime)
	time.Sleep(time.Until(deadline))
	close(stop)
	time.Sleep(2 * time.Second)
	return m.judgeExposure(service, bad, ordered, deadline, log), nil
}

// judgeExposure counts the requests that reached the bad version between its order and its
// deadline. All machines with clients are in touch: nothing is done to them or to the store.
func (m *mesh) judgeExposure(service string, bad []*server, from, to time.Time, log *attemptLog) (broken string) {
	isBad := make(map[*server]bool)
	for _, s := range bad {
		isBad[s] = true
	}
	all, exposed, failed := 0, 0, 0
	perSecond := make(map[int][2]int)
	for _, s := range m.servers {
		for _, a := range s.arrived() {
			if a.at.Before(from) || a.at.After(to) || a.status == http.StatusMisdirectedRequest {
				continue
			}
			all++
			n := perSecond[int(a.at.Sub(from).Seconds())]
			n[0]++
			if isBad[s] {
				exposed++
				n[1]++
				if a.status == http.StatusInternalServerError {
					failed++
				}
			}
			perSecond[int(a.at.Sub(from).Seconds())] = n
		}
	}
	for i := range int(moveTime.Seconds()) {
		m.rec.note("second %d after the order: %d requests reached the service, %d of them the bad version", i, perSecond[i][0], perSecond[i][1])
	}
	refused := 0
	for _, a := range log.all() {
		if a.sent.After(from) && a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	limit := exposeShare*float64(all) + exposeSlack
	m.rec.note("of %d requests %d reached the bad version, which failed %d of them; %.0f are allowed; clients got 503 %d times", all, exposed, failed, limit, refused)
	if float64(exposed) > limit {
		return fmt.Sprintf("%d requests reached the bad version, %.0f are allowed", exposed, limit)
	}
	return ""
}
