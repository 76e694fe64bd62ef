package client

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/request/entry"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
	"google.golang.org/protobuf/proto"
)

// TestAnswerCut guards against a part of an answer of a daemon that is shown to the
// operator as the whole. The start of a protobuf message is a message too.
func TestAnswerCut(t *testing.T) {
	message, err := proto.Marshal(&wirev1.StatusResponse{Daemon: "d-1", Zone: "nl-west-a", Offset: 7})
	if err != nil {
		t.Fatal(err)
	}
	var whole atomic.Bool
	answer := func(contentType string, body []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			_, _ = w.Write(body)
			_ = http.NewResponseController(w).Flush()
			if !whole.Load() {
				panic(http.ErrAbortHandler)
			}
		}
	}
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.ControlStatusProcedure, answer("application/proto", message))
	mux.Handle(entry.ExplainPath, answer("application/json", []byte(`{"daemon":"d-1"}`)))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	d := newDaemon(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	defer d.close()
	for _, want := range []bool{true, false} {
		whole.Store(want)
		res, err := d.status(t.Context(), true)
		if want != (err == nil) || want && res.Offset != 7 {
			t.Errorf("status, whole %v: got %v, %v", want, res, err)
		}
		x, err := d.explain(t.Context(), nil, "")
		if want != (err == nil) || want && x.Daemon != "d-1" {
			t.Errorf("explanation, whole %v: got %+v, %v", want, x, err)
		}
	}
}
