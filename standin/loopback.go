package standin

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// loopbackHosts is the number of addresses that NewLoopbackHost has returned.
var loopbackHosts atomic.Uint32

// NewLoopbackHost returns a loopback address (127.0.0.0/8) that other code is unlikely to use. A server on it can stop
// and listen at the same port again; on 127.0.0.1, a listener or connection of another process may take the port in the
// meantime.
func NewLoopbackHost() string {
	pid := os.Getpid()
	n := loopbackHosts.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(128 | pid>>8&0x7f), byte(pid), byte(1 + n%254)}).String()
}
