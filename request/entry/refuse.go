package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error   string          `json:"error"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason"`
	RetryAt *time.Time      `json:"retryAt,omitempty"`
}

// RefuseConnection is the HTTP handler for the requests of connections for which the
// daemon has no room.
func (e *Entry) RefuseConnection(w http.ResponseWriter, _ *http.Request) {
	e.metrics.Add("entry.requests", 1)
	e.refuse(w, noConnection(time.Now()))
}

// noConnection refuses a request because there are too many connections.
func noConnection(now time.Time) *request.Refusal {
	return &request.Refusal{
		Outcome: request.NotRun, Reason: request.ReasonNoRoom, Detail: "there are too many connections",
		RetryAt: now.Add(defaultRetryAfter),
	}
}

func (e *Entry) refuse(w http.ResponseWriter, err error) {
	var ref *request.Refusal
	if !errors.As(err, &ref) {
		ref = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonConnection, Detail: err.Error()}
	}
	e.metrics.Add("entry.refused."+string(ref.Reason), 1)
	h := w.Header()
	h.Set("Content-Type", "application/json; charset=utf-8")
	h.Set(request.HeaderOutcome, string(ref.Outcome))
	h.Set(request.HeaderReason, string(ref.Reason))
	body := refusalBody{Error: ref.Detail, Outcome: ref.Outcome, Reason: ref.Reason}
	status := request.StatusOf(ref)
	// Refusals for a fault of the request itself name no time for a retry.
	if !ref.RetryAt.IsZero() || status >= http.StatusInternalServerError {
		at := ref.RetryAt
		if earliest := time.Now().Add(defaultRetryAfter); at.Before(earliest) && !e.headers.FractionalRetryTime {
			at = earliest
		}
		body.RetryAt = &at
		h.Set("Retry-After", e.retryAfter(at))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	data, _ := json.Marshal(body)
	_, _ = w.Write(append(data, '\n'))
}

// retryAfter returns the value of the Retry-After header for a retry at the given time,
// in seconds.
func (e *Entry) retryAfter(at time.Time) string {
	left := max(0, time.Until(at).Seconds())
	if e.headers.FractionalRetryTime {
		return strconv.FormatFloat(left, 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(left)))
}
