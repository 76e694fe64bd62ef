package loopback

import (
	"net/netip"
	"testing"
)

// TestFreeAddressesDiffer guards against the same address for two listeners of a daemon,
// or for two daemons. Ports that the system assigns, each closed before the next is
// requested, repeat in 24 of 20,000 sets of five.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 2_000 {
		addrs, err := FreeAddresses(5)
		if err != nil {
			t.Fatal(err)
		}
		for _, addr := range addrs {
			if seen[addr] {
				t.Fatalf("got %v twice", addr)
			}
			seen[addr] = true
		}
	}
}
