package edge

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// parseIPv4 converts an IPv4 address to the number that represents it in messages.
func parseIPv4(ip string) (uint32, error) {
	a, err := netip.ParseAddr(ip)
	if err != nil || !a.Is4() {
		return 0, errors.Newf("%q is not an IPv4 address", ip)
	}
	return ipv4Number(a), nil
}

// ipv4Number is parseIPv4 for a parsed address that is known to be IPv4.
func ipv4Number(a netip.Addr) uint32 {
	b := a.Unmap().As4()
	return binary.BigEndian.Uint32(b[:])
}

// addrPort converts the number of an IPv4 address back and adds a port.
func addrPort(n uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
