package entry

import (
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// ExplainPath is the path on the peer address at which a daemon explains where its entry
// would send a request.
const ExplainPath = "/explain"

// Explanation tells where the entry would send a request now. The choices of backend,
// version and instance are made with random numbers, as for a request.
type Explanation struct {
	Daemon   string `json:"daemon"`
	Zone     string `json:"zone"`
	Version  int64  `json:"configVersion"`
	Route    string `json:"route,omitempty"`
	Internal bool   `json:"internal,omitempty"`
	Class    string `json:"class,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	// Backends holds the share of each upstream if the route is split.
	Backends        map[string]float64 `json:"backends,omitempty"`
	Upstream        string             `json:"upstream,omitempty"`
	UpstreamVersion string             `json:"upstreamVersion,omitempty"`
	// AdmittedShare is the share of new requests of the route that is admitted.
	AdmittedShare float64             `json:"admittedShare,omitempty"`
	Refusal       *ExplainedRefusal   `json:"refusal,omitempty"`
	Rule          route.Rule          `json:"rule,omitempty"`
	Chosen        string              `json:"chosen,omitempty"`
	Possible      int                 `json:"possible"`
	Instances     []ExplainedInstance `json:"instances,omitempty"`
}

// ExplainedRefusal is the refusal that a caller would get.
type ExplainedRefusal struct {
	Status  int             `json:"status"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason"`
	Detail  string          `json:"detail"`
}

// ExplainedInstance is an instance with what the entry knows of its load.
type ExplainedInstance struct {
	route.Candidate
	InFlight int `json:"inFlight"`
	// Limit is zero if it is not known, and Capacity, in answers per second, too.
	Limit    int     `json:"limit,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
	// ReportAgeMs is the age of the valid load report; nil if there is none.
	ReportAgeMs *float64 `json:"reportAgeMs,omitempty"`
}

// Explain tells where the entry would send a request of a new caller now. It sends and
// reserves nothing and changes no state, so it does not probe instances first, and does
// not find out whether the upstream beside the daemon made the request.
func (e *Entry) Explain(r *http.Request, now time.Time) Explanation {
	snap := e.view.Snapshot()
	x := Explanation{Daemon: e.name, Zone: snap.Self.Zone}
	if snap.State != nil {
		x.Version = snap.State.Version
	}
	var ref *request.Refusal
	if errors.As(e.explain(&x, r, now), &ref) {
		x.Refusal = &ExplainedRefusal{Status: request.StatusOf(ref), Outcome: ref.Outcome, Reason: ref.Reason, Detail: ref.Detail}
	}
	return x
}

// explain makes the decisions of serve, runScheduled and the first attempt. An error is a
// *request.Refusal.
func (e *Entry) explain(x *Explanation, r *http.Request, now time.Time) error {
	snap := e.view.Snapshot()
	rt, err := match(snap, r, now)
	if err != nil {
		return err
	}
	x.Route, x.Internal, x.Class = rt.Name, rt.Internal, rt.Class
	var sum float64
	for _, b := range rt.Backends {
		sum += b.Weight
	}
	x.Backends = make(map[string]float64, len(rt.Backends))
	for _, b := range rt.Backends {
		if b.Weight > 0 {
			x.Backends[b.Upstream] += b.Weight / sum
		}
	}
	tnt, err := snap.Tenants.Check(r.Header, rt.Public)
	if err != nil {
		return err
	}
	call := &request.Call{
		Route: rt.Name, Method: r.Method, Path: r.URL.RequestURI(), Header: request.CleanHeader(r.Header), Class: rt.Class,
		Deadline: now.Add(time.Duration(rt.AnswerWithin)), Idempotent: rt.Idempotent, Attempts: rt.Attempts,
	}
	if rt.Objective > 0 {
		call.Objective = now.Add(time.Duration(rt.Objective))
	}
	e.setTenant(call, tnt, snap)
	x.Class, x.Tenant = call.Class, call.Tenant
	if err := e.limitByDeparture(call, now); err != nil {
		return err
	}
	if e.ranks != nil {
		x.AdmittedShare = e.ranks.shares.Share(now, rt.Name)
		if mathrand.Float64() >= x.AdmittedShare {
			return refuseDependency(rt.Name, now)
		}
	}
	x.Upstream = rt.Split(mathrand.Float64())
	if e.returns != nil && e.returns.Limited(now, returnKey(call, x.Upstream, snap.ShedOrder(now))) && !e.knowsFree(x.Upstream, now) {
		return refusePromised(x.Upstream)
	}
	var choice route.Explanation
	q := e.newQuery(call, x.Upstream, nil, snap, now)
	q.Explanation = &choice
	if e.probes != nil {
		q.ReportAge = e.loads.reportAge
	}
	_, ref := e.pick(q, call, nil, snap, new(int))
	x.UpstreamVersion, x.Rule, x.Chosen, x.Possible = q.Version, choice.Rule, choice.Chosen, choice.Possible()
	for _, c := range choice.Candidates {
		x.Instances = append(x.Instances, e.loads.explained(c, now))
	}
	for i := range snap.Members {
		m := &snap.Members[i]
		if m.Service != x.Upstream || m.Version != q.Version {
			continue
		}
		obstacle := route.Obstacle(m.State)
		if m.State == membership.Ready || m.State == membership.Suspect {
			if !snap.State.Zones[m.Zone].Out {
				continue
			}
			obstacle = "zoneOut"
		}
		x.Instances = append(x.Instances, e.loads.explained(route.Candidate{Instance: m.Name, Zone: m.Zone, Obstacle: obstacle}, now))
	}
	if ref != nil {
		return ref
	}
	return nil
}

// explained adds what is known of the load of an instance. It changes nothing.
func (l *loads) explained(c route.Candidate, now time.Time) ExplainedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := ExplainedInstance{Candidate: c}
	in, ok := l.instances[c.Instance]
	if !ok {
		return x
	}
	x.InFlight, x.Limit, x.Capacity = l.inFlight(in, now), in.report.Limit, in.report.Capacity
	if now.Before(in.reportUntil) {
		ms := float64(now.Sub(in.reportUntil.Add(-l.lifetime())).Microseconds()) / 1e3
		x.ReportAgeMs = &ms
	}
	return x
}

// ServeExplanation is the HTTP handler of ExplainPath. The request to explain has the
// method and the URL of the query, and the header of r.
func (e *Entry) ServeExplanation(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	u, err := url.ParseRequestURI(query.Get("url"))
	if err != nil || !strings.HasPrefix(u.Path, "/") || query.Get("method") == "" {
		http.Error(w, "the query needs a method, and a url with a path", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	explained := &http.Request{Method: query.Get("method"), Host: u.Host, URL: u, Header: r.Header}
	_ = json.NewEncoder(w).Encode(e.Explain(explained, time.Now()))
}
