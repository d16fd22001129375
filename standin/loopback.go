package standin

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// hosts counts the addresses that NewLoopbackHost has returned.
var loopbackHosts atomic.Uint32

// NewLoopbackHost returns a loopback address (127.0.0.0/8) of its own. What listens there can stop and listen at the same port
// again: on 127.0.0.1 any listener or connection of another process may have taken the port meanwhile.
func NewLoopbackHost() string {
	pid := os.Getpid()
	n := loopbackHosts.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(128 | pid>>8&0x7f), byte(pid), byte(1 + n%254)}).String()
}
