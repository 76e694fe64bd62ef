package entry

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// passage is what is told of a request afterwards.
type passage struct {
	start time.Time
	// version is the configuration version by which it was routed.
	version int64
	// call is nil if the request was refused before it was read.
	call  *request.Call
	tries []try
	// reserved is the instance for which a silent one was given up; nil if none.
	reserved *route.Instance
}

// try is one attempt and what spoke for its instance.
type try struct {
	instance, zone, version string
	// ratio of load to limit, and the age of the report that says so.
	ratio   float64
	age     time.Duration
	took    time.Duration
	outcome request.Outcome
	reason  request.Reason
}

// String implements fmt.Stringer.
func (t try) String() string {
	return fmt.Sprintf("%s (%s, %s, load %.2f, report %v old): %s %s in %v",
		t.instance, t.zone, t.version, t.ratio, t.age.Round(time.Millisecond), t.outcome, t.reason, t.took.Round(time.Millisecond))
}

func (p *passage) try(inst route.Instance, l *loads, now time.Time) {
	t := try{instance: inst.Name, zone: inst.Zone, version: inst.Version}
	t.ratio, t.age = l.report(inst.Name, now)
	p.tries = append(p.tries, t)
}

// tried notes the result of the attempt that began at the given time.
func (p *passage) tried(err error, began time.Time) {
	t := &p.tries[len(p.tries)-1]
	t.took, t.outcome = time.Since(began), request.Ran
	var ref *request.Refusal
	if errors.As(err, &ref) {
		t.outcome, t.reason = ref.Outcome, ref.Reason
	} else if err != nil {
		t.outcome, t.reason = request.Unknown, request.ReasonConnection
	}
}

// traceID returns an id for the lines on a request whose caller names none.
func traceID(n request.Headers) string {
	if n.CallerNamesID {
		return ""
	}
	return rand.Text()
}

// record counts the end of a request and logs what decided it.
func (e *Entry) record(p *passage, r *http.Request, ans *request.Answer, err error) {
	took := time.Since(p.start)
	var (
		outcome      request.Outcome
		reason       request.Reason
		status       int
		name, detail string
	)
	id := r.Header.Get(e.headers.ID)
	if p.call != nil {
		name, id = p.call.Route, e.headers.TraceOf(p.call)
	}
	var ref *request.Refusal
	switch {
	case err == nil:
		outcome, status = ans.Outcome, ans.Status
	case errors.As(err, &ref):
		outcome, reason, status, detail = ref.Outcome, ref.Reason, request.StatusOf(ref), ref.Detail
	default:
		outcome, detail = request.Unknown, err.Error()
	}
	e.metrics.Observe("entry.latency", took, name, string(outcome))
	odd := err != nil || status >= http.StatusInternalServerError || len(p.tries) > 1
	if !e.decisions.Keeps(id, odd) {
		return
	}
	tries := make([]string, 0, len(p.tries))
	for _, t := range p.tries {
		tries = append(tries, t.String())
	}
	args := []any{
		"id", id, "side", "entry", "route", name, "configVersion", p.version, "status", status, "outcome", outcome,
		"reason", reason, "detail", detail, "tookMs", took.Milliseconds(), "tries", strings.Join(tries, "; "),
	}
	if p.call != nil {
		args = append(args, "timeoutMs", p.call.Deadline.Sub(p.start).Milliseconds())
	}
	if outcome == request.NotRun {
		e.decisions.Write("request answered", args...)
		return
	}
	e.decisions.WriteReserved("request answered", args...)
}
