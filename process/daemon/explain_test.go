package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/process/client"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/request/entry"
)

// TestExplainCommand guards against a daemon that does not serve explanations on its peer
// address, and against one that runs the request.
func TestExplainCommand(t *testing.T) {
	t.Parallel()
	a, b := startBalancingMesh(t, settings.Balancing{LoadProbes: true, LearnCapacity: true, CallRanks: true, ReturnTimes: true})
	explain := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := client.Run(context.Background(), append([]string{"--daemon", a.settings.PeerAddress.String(), "explain"}, args...), client.WithOutput(&out, &out))
		return code, out.String()
	}
	code, text := explain("post", "any.example/reserve/1?q=1", "--output", "json")
	var x entry.Explanation
	if err := json.Unmarshal([]byte(text), &x); code != 0 || err != nil {
		t.Fatalf("got code %d, %v: %s", code, err, text)
	}
	if x.Daemon != "booking-a" || x.Route != "reserve" || x.Upstream != "booking" || x.UpstreamVersion != "v1" || x.Chosen == "" || x.Possible < 1 || len(x.Instances) != 2 || x.Refusal != nil {
		t.Errorf("got %+v, want a choice of two instances on route reserve", x)
	}
	if _, text := explain("GET", "/reserve/1"); !strings.Contains(text, "chosen: booking-") || !strings.Contains(text, "NOT A CHOICE") {
		t.Errorf("got %s, want a choice and a table", text)
	}
	if code, text := explain("GET", "/none"); code != 0 || !strings.Contains(text, "refused with 404") {
		t.Errorf("got code %d: %s, want the refusal of a request without a route", code, text)
	}
	if code, text := explain("GET", "/reserve/1", "--key-file", "/nonexistent"); code != client.ExitError {
		t.Errorf("got code %d: %s, want %d", code, text, client.ExitError)
	}
	for _, n := range []*node{a, b} {
		// The readiness of the mesh is tested with other paths.
		if _, ok := n.runs.Load("/reserve/1"); ok {
			t.Errorf("%s ran the request, want no run", n.settings.Name)
		}
	}
}
