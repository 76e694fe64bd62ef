package daemon

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
)

// TestLoadProbes guards against daemons that do not answer each other's probes, and
// against entries that do not use the reports.
func TestLoadProbes(t *testing.T) {
	t.Parallel()
	a, _ := startBalancingMesh(t, settings.Balancing{LoadProbes: true})
	var vars struct {
		Choices  int `json:"loads.choices"`
		Known    int `json:"loads.choicesKnown"`
		Answered int `json:"loads.probesAnswered"`
		Served   int `json:"loads.probesServed"`
	}
	const calls = 40
	for range calls {
		res, err := http.Post("http://"+a.settings.CallerAddress.String()+"/reserve/1", "text/plain", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		// The refresh interval of the probes.
		time.Sleep(50 * time.Millisecond)
	}
	res, err := http.Get("http://" + a.settings.MetricsAddress.String() + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	// The other half of the probes is for the instance beside the daemon.
	if vars.Choices < calls || vars.Known < calls/2 || vars.Answered < calls/4 || vars.Served == 0 {
		t.Errorf("got %+v after %d calls, want choices on reports and probes in both directions", vars, calls)
	}
}

// TestProbePortInUse guards against a daemon that does not start because another process
// uses the UDP port, and against a missing or repeated warning.
func TestProbePortInUse(t *testing.T) {
	// A port that the system chooses for UDP may be in use for TCP.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(freeAddr(t)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var out bytes.Buffer
	d := New(settings.Settings{
		Name: "a", Region: "r", Zone: "a", CallerAddress: freeAddr(t), AnnounceAddress: freeAddr(t), MetricsAddress: freeAddr(t),
		PeerAddress: conn.LocalAddr().(*net.UDPAddr).AddrPort(), Balancing: settings.Balancing{LoadProbes: true},
	}, hclog.New(&hclog.LoggerOptions{Output: &out}))
	if err := d.listen(); err != nil {
		t.Fatalf("the daemon does not start: %v", err)
	}
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
	if got := strings.Count(out.String(), "no load probes"); d.probes != nil || got != 1 {
		t.Errorf("got %d warnings and a socket %v, want one and none", got, d.probes)
	}
}
