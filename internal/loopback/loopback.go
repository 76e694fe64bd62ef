// Package loopback finds free loopback addresses for the processes and daemons
// that tests and stand-ins start.
//
// # Usage
//
//	addrs, err := loopback.FreeAddresses(2)
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort bound the assigned ports. They are below the usual
	// range of ephemeral ports, so that outgoing connections of other processes do
	// not use them.
	firstPort = 10_000
	lastPort  = 30_000
)

// nextPortOffset is the next port to try, relative to firstPort.
var nextPortOffset atomic.Int32

// FreeAddresses returns n loopback addresses on which nothing listens. The IP
// number depends on the process id, so that processes that run at the same
// time get different addresses.
func FreeAddresses(n int) (addrs []netip.AddrPort, err error) {
	checkPidfd()
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(pid)})
	for tries := 0; len(addrs) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, eris.Errorf("no free port on %v", ip)
		}
		port := firstPort + (nextPortOffset.Add(1)-1)%(lastPort-firstPort)
		addr := netip.AddrPortFrom(ip, uint16(port)) //nolint:gosec // below lastPort
		free, err := isFree(addr)
		if err != nil {
			return nil, eris.Wrap(err, "free address")
		}
		if free {
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}

// checkPidfd makes package os do the check that precedes its first start of a process. It
// forks a child without holding syscall.ForkLock, which may inherit the listener of
// isFree.
var checkPidfd = sync.OnceFunc(func() { _, _ = os.FindProcess(os.Getpid()) })

// isFree reports whether nothing listens on an address. It holds syscall.ForkLock,
// because a process forked while the listener is open would inherit it and keep the
// address in use for a moment after the close.
func isFree(addr netip.AddrPort) (bool, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false, nil //nolint:nilerr // the address is in use
	}
	return true, ln.Close()
}
