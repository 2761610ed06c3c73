package weights

// View returns the weight versions known to this host.
type View interface {
	// Newest returns the newest known published version of an engine pool's
	// model; zero if none is known.
	Newest(pool string) uint64
	// Running returns the version that an engine last reported to run, and false if none is known.
	Running(upstreamID string) (uint64, bool)
}
