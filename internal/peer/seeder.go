package peer

// Seeder accepts peer addresses of hosts from another source than the exchange itself.
type Seeder interface {
	// Seed adds a host's peer address, which the exchange dials if the host is not known to be alive.
	Seed(hostID, peerAddress string)
}
