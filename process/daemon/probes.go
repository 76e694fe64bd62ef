package daemon

import (
	"net/netip"

	"github.com/kingcuppitch/kingcuppitch/connection/probe"
	"github.com/kingcuppitch/kingcuppitch/request"
)

// listenForProbes binds the socket for load probes, if the settings ask for them. The
// daemon works without it: the entry then uses the load reports in answers only.
func (d *Daemon) listenForProbes() {
	if !d.settings.Balancing.LoadProbes {
		return
	}
	s := &probe.Socket{Load: d.reportLoad, Answered: d.entry.ObserveProbe, Count: d.metrics.Add}
	if err := s.Listen(d.probeAddress()); err != nil {
		d.logger.Warn("no load probes: the socket cannot be bound", "error", err)
		return
	}
	d.entry.EnableProbes(s, d.reportLoad)
	d.probes = s
}

// probeAddress returns the UDP address with the same number as the address for peers,
// whose port may have been chosen by the system.
func (d *Daemon) probeAddress() netip.AddrPort {
	for _, s := range d.servers {
		if addr, err := netip.ParseAddrPort(s.listener.Addr().String()); s.name == "peers" && err == nil {
			return netip.AddrPortFrom(d.settings.PeerAddress.Addr(), addr.Port())
		}
	}
	return d.settings.PeerAddress
}

// reportLoad returns the load of the upstream instance and the incarnation of the daemon.
func (d *Daemon) reportLoad() (request.Load, uint64) {
	return d.host.ProbeReport(), d.control.Snapshot().Self.Incarnation
}
