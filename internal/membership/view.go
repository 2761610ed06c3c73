package membership

import "github.com/sapphirehatch/sapphirehatch/internal/platform"

// Upstream is one replica of a service or engine pool.
type Upstream struct {
	ID string
	// Kind is platform.EngineMember or platform.ServiceMember.
	Kind          platform.MemberKind
	Pool          string
	Address       string
	FailureDomain string
	Region        string
	Incarnation   string
	// Leaving is true if the platform's list or any host's mark says that the
	// upstream takes no new work.
	Leaving bool
}

// View is the merged list of the upstreams.
type View interface {
	// Upstreams returns the replicas of a pool, including leaving ones, ordered by
	// id. The caller must not modify the result.
	Upstreams(pool string) []Upstream
	// MarkLeaving records, here and at the other hosts, that an upstream is leaving
	// and takes no new work.
	MarkLeaving(upstreamID string)
	// Ready reports whether a membership list has been obtained since the start.
	Ready() bool
}
