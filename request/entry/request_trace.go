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

// requestTrace collects what is logged about a request after it ended, and the instance
// that is reserved for its next attempt.
type requestTrace struct {
	start time.Time
	// version is the configuration version by which it was routed.
	version int64
	// tenant is the name of the tenant; it may be empty.
	tenant string
	// call is nil if the request was refused before it was read.
	call     *request.Call
	attempts []attemptTrace
	// refusedBy says why the entry itself refused the request; empty if it did not.
	refusedBy string
	// reserved is the instance in whose favour a silent one was abandoned; nil if none.
	reserved *route.Instance
}

// attemptTrace is one attempt and the load of its instance when it was chosen.
type attemptTrace struct {
	instance, zone, version string
	// loadRatio is the ratio of load to limit, and reportAge is the age of the load
	// report on which it is based.
	loadRatio float64
	reportAge time.Duration
	// rateLimit is the limit in that report, in requests per second; zero means none.
	rateLimit float64
	took      time.Duration
	outcome   request.Outcome
	reason    request.Reason
}

// String implements fmt.Stringer.
func (t attemptTrace) String() string {
	limit := ""
	if t.rateLimit > 0 {
		limit = fmt.Sprintf(", limited to %.4g/s", t.rateLimit)
	}
	return fmt.Sprintf("%s (%s, %s, load %.2f%s, report %v old): %s %s in %v",
		t.instance, t.zone, t.version, t.loadRatio, limit, t.reportAge.Round(time.Millisecond), t.outcome, t.reason, t.took.Round(time.Millisecond))
}

func (tr *requestTrace) startAttempt(inst route.Instance, l *loads, now time.Time) {
	t := attemptTrace{instance: inst.Name, zone: inst.Zone, version: inst.Version}
	t.loadRatio, t.rateLimit, t.reportAge = l.report(inst.Name, now)
	tr.attempts = append(tr.attempts, t)
}

// endAttempt stores the result of the last attempt, which began at the given time.
func (tr *requestTrace) endAttempt(err error, began time.Time) {
	t := &tr.attempts[len(tr.attempts)-1]
	t.took, t.outcome = time.Since(began), request.Ran
	var ref *request.Refusal
	if errors.As(err, &ref) {
		t.outcome, t.reason = ref.Outcome, ref.Reason
	} else if err != nil {
		t.outcome, t.reason = request.Unknown, request.ReasonConnection
	}
}

// traceID returns an id for the log lines of a request, or an empty string if callers
// name their requests.
func traceID(n request.Headers) string {
	if n.CallerNamesID {
		return ""
	}
	return rand.Text()
}

// record counts a finished request and logs what decided its outcome.
func (e *Entry) record(tr *requestTrace, r *http.Request, ans *request.Answer, err error) {
	took := time.Since(tr.start)
	var (
		outcome      request.Outcome
		reason       request.Reason
		status       int
		name, detail string
	)
	id := r.Header.Get(e.headers.ID)
	if tr.call != nil {
		name, id = tr.call.Route, e.headers.TraceOf(tr.call)
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
	notable := err != nil || status >= http.StatusInternalServerError || len(tr.attempts) > 1
	if !e.decisions.Keeps(id, notable) {
		return
	}
	tries := make([]string, 0, len(tr.attempts))
	for _, t := range tr.attempts {
		tries = append(tries, t.String())
	}
	args := []any{
		"id", id, "side", "entry", "route", name, "configVersion", tr.version, "status", status, "outcome", outcome,
		"reason", reason, "detail", detail, "tookMs", took.Milliseconds(), "tries", strings.Join(tries, "; "),
	}
	if tr.tenant != "" {
		args = append(args, "tenant", tr.tenant)
	}
	if tr.call != nil {
		args = append(args, "timeoutMs", tr.call.Deadline.Sub(tr.start).Milliseconds())
	}
	if tr.refusedBy != "" {
		args = append(args, "refusedAtEntry", tr.refusedBy)
	}
	if outcome == request.NotRun {
		e.decisions.Write("request answered", args...)
		return
	}
	e.decisions.WriteReserved("request answered", args...)
}
