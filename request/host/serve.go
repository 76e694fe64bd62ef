package host

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/status"
	"github.com/kingcuppitch/kingcuppitch/request"
)

// ServeHTTP serves a call forwarded by the entry of another daemon.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := request.DecodeCall(r, ForwardPrefix, time.Now(), h.view.Snapshot().BodyLimit(), h.buffers)
	if err != nil {
		h.metrics.Add("host.malformedCalls", 1)
		var ref *request.Refusal
		if !errors.As(err, &ref) {
			ref = &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonMalformed, Detail: err.Error(), Status: http.StatusBadRequest}
		}
		h.refuse(w, r.Header.Get(request.HeaderRequest), ref, nil)
		return
	}
	ans, err := h.Do(r.Context(), call)
	if err != nil {
		var ref *request.Refusal
		if !errors.As(err, &ref) {
			ref = &request.Refusal{Outcome: request.Unknown, Reason: request.ReasonConnection, Detail: err.Error()}
		}
		h.refuse(w, call.ID, ref, call)
		return
	}
	if err := WriteAnswer(w, ans, call.ID); err != nil {
		h.metrics.Add("host.abortedAnswers", 1)
		// Abort the stream so that the entry does not take a partial answer for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
}

// refuse writes a refusal; call is nil if the call could not be read.
func (h *Host) refuse(w http.ResponseWriter, id string, ref *request.Refusal, call *request.Call) {
	header := w.Header()
	header.Set(request.HeaderRequest, id)
	request.EncodeRefusal(ref, header)
	request.EncodeLoad(h.Report(call), header)
	w.WriteHeader(request.StatusOf(ref))
	_, _ = io.WriteString(w, ref.Detail)
}

// WriteAnswer writes an answer. With an attempt id it adds the id and the load
// report for the entry of another daemon; a caller gets neither. After an error
// the answer is incomplete, and the connection or stream must be aborted.
func WriteAnswer(w http.ResponseWriter, ans *request.Answer, id string) error {
	if !status.IsFinal(ans.Status) {
		// net/http would panic or send it.
		if ans.Rest != nil {
			_ = ans.Rest.Close()
		}
		ans = &request.Answer{Status: http.StatusBadGateway, Outcome: request.Unknown, Reason: request.ReasonMismatch, Load: ans.Load}
	}
	header := w.Header()
	for name, values := range request.CleanHeader(ans.Header) {
		header[name] = values
	}
	if length := ans.Header.Get("Content-Length"); length != "" && len(ans.Body) == 0 && ans.Rest == nil {
		// The answer to HEAD announces a length without a body.
		header.Set("Content-Length", length)
	}
	header.Set(request.HeaderOutcome, string(ans.Outcome))
	if ans.Reason != "" {
		header.Set(request.HeaderReason, string(ans.Reason))
	}
	if id != "" {
		header.Set(request.HeaderRequest, id)
		request.EncodeLoad(ans.Load, header)
	}
	w.WriteHeader(ans.Status)
	if ans.Rest != nil {
		defer func() { _ = ans.Rest.Close() }()
	}
	// HTTP/2 refuses even an empty write where the status allows no body.
	if len(ans.Body) > 0 {
		if _, err := w.Write(ans.Body); err != nil {
			return err
		}
	}
	if ans.Rest != nil {
		if _, err := io.Copy(w, ans.Rest); err != nil {
			return err
		}
	}
	if ans.Trailer == nil {
		return nil
	}
	if trailer := request.CleanHeader(ans.Trailer()); len(trailer) > 0 {
		// An unflushed body would be sent with a Content-Length, which leaves no room
		// for a trailer.
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		for name, values := range trailer {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
	return nil
}
