package demo

import (
	"net"
	"strconv"
	"testing"
)

// firstEphemeralPort is the first port that Linux gives to outgoing connections, unless it is
// told another one.
const firstEphemeralPort = 32768

// Guards against a host whose port an outgoing connection had taken before the host listened
// on it: the demonstration failed.
func TestPortsOfHostsAreNotThoseOfOutgoingConnections(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		hosts, err := hostSettings(t.TempDir(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range hosts {
			for _, address := range []string{s.Host.CallerAddress, s.Host.AdminAddress, s.Host.PeerAddress} {
				_, text, err := net.SplitHostPort(address)
				port, convErr := strconv.Atoi(text)
				if err != nil || convErr != nil || port >= firstEphemeralPort || seen[text] {
					t.Fatalf("address %s, want a port below %d that no other host has", address, firstEphemeralPort)
				}
				seen[text] = true
			}
		}
	}
}
