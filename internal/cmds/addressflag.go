package cmds

import (
	"flag"
	"net/netip"
)

// addressFlag registers a flag that holds an IP address and port.
func addressFlag(flags *flag.FlagSet, name, usage, fallback string) *netip.AddrPort {
	address := new(netip.AddrPort)
	value, _ := netip.ParseAddrPort(fallback)
	flags.TextVar(address, name, value, usage)
	return address
}
