package membership

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// leavingTTL is how long a leaving mark is valid unless it is renewed.
	leavingTTL = time.Minute
	// absentGrace is how long a member is kept after it disappears from the
	// platform's list, because the platform restarts with an empty list.
	absentGrace = 5 * time.Second
)

// Joined is a View that merges the platform's list with leaving marks.
type Joined struct {
	peers peer.Exchange

	mu sync.Mutex
	// members holds the upstreams by id: those of the last list, and missing ones
	// for absentGrace.
	members map[string]known
	// hosts holds the hosts of the last list.
	hosts []platform.Member
	// listed is the time of the last list; zero before the first.
	listed time.Time
	// marked holds when this host last published a leaving mark, by upstream id.
	marked map[string]time.Time

	pools atomic.Pointer[map[string][]Upstream]
}

// known is an upstream and whether the last list had it.
type known struct {
	platform.Member
	// missing is the time of the first list without it; zero if the last list had it.
	missing time.Time
}

// NewJoined returns a View without members.
func NewJoined(peers peer.Exchange) *Joined {
	return &Joined{peers: peers, members: make(map[string]known), marked: make(map[string]time.Time)}
}

// Upstreams implements View.
func (j *Joined) Upstreams(pool string) []Upstream {
	pools := j.pools.Load()
	if pools == nil {
		return nil
	}
	return (*pools)[pool]
}

// Ready implements View.
func (j *Joined) Ready() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.listed.IsZero()
}

// MarkLeaving implements View. The mark applies only to the upstream's current
// incarnation: a restarted upstream gets work again.
func (j *Joined) MarkLeaving(upstreamID string) {
	j.mu.Lock()
	member, ok := j.members[upstreamID]
	fresh := time.Since(j.marked[upstreamID]) < leavingTTL/2
	if !ok || fresh {
		j.mu.Unlock()
		return
	}
	j.marked[upstreamID] = time.Now()
	j.mu.Unlock()
	j.peers.Publish(peer.TopicLeaving, upstreamID, []byte(member.Incarnation), leavingTTL)
	j.Rebuild()
}

// Update replaces the members by a list as of the time listed. A list that is not
// newer than the last one is ignored.
func (j *Joined) Update(list []platform.Member, listed time.Time) {
	j.mu.Lock()
	if !listed.After(j.listed) {
		j.mu.Unlock()
		return
	}
	j.listed = listed
	j.take(list)
	maps.DeleteFunc(j.marked, func(_ string, at time.Time) bool { return time.Since(at) > leavingTTL })
	j.mu.Unlock()
	j.tellLeaving(list)
	j.Rebuild()
}

// take replaces the members by those of a list, and keeps members that are missing
// from it for absentGrace. The caller holds mu.
func (j *Joined) take(list []platform.Member) {
	j.hosts = nil
	next := make(map[string]known, len(list))
	for _, m := range list {
		if m.Kind == platform.HostMember {
			j.hosts = append(j.hosts, m)
			continue
		}
		next[m.ID] = known{Member: m}
	}
	for id, old := range j.members {
		if _, ok := next[id]; ok {
			continue
		}
		if old.missing.IsZero() {
			old.missing = j.listed
		}
		if j.listed.Sub(old.missing) < absentGrace {
			next[id] = old
		}
	}
	j.members = next
}

// tellLeaving marks the upstreams that the platform's list shows as leaving, for
// the other hosts, whose lists may be older.
func (j *Joined) tellLeaving(list []platform.Member) {
	marks := leavingMarks(j.peers.Entries(peer.TopicLeaving))
	for _, m := range list {
		if m.Kind != platform.HostMember && m.State == platform.MemberLeaving && !marks.holds(m) {
			j.MarkLeaving(m.ID)
		}
	}
}

// List returns all known members and the time of the last list.
func (j *Joined) List() ([]platform.Member, time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	list := slices.Clone(j.hosts)
	for _, k := range j.members {
		list = append(list, k.Member)
	}
	return list, j.listed
}

// Run merges again after each change of the leaving marks, until ctx ends.
func (j *Joined) Run(ctx context.Context) error {
	changes := j.peers.Watch(peer.TopicLeaving)
	for {
		select {
		case <-changes:
			j.Rebuild()
		case <-ctx.Done():
			return nil
		}
	}
}

// Rebuild merges the list with the leaving marks of all hosts.
func (j *Joined) Rebuild() {
	marks := leavingMarks(j.peers.Entries(peer.TopicLeaving))
	j.mu.Lock()
	defer j.mu.Unlock()
	pools := make(map[string][]Upstream)
	for _, id := range slices.Sorted(maps.Keys(j.members)) {
		m := j.members[id].Member
		pools[m.Pool] = append(pools[m.Pool], Upstream{
			ID:            m.ID,
			Kind:          m.Kind,
			Pool:          m.Pool,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
			Region:        m.Region,
			Incarnation:   m.Incarnation,
			Leaving:       m.State == platform.MemberLeaving || marks.holds(m),
		})
	}
	j.pools.Store(&pools)
}

// marks holds the incarnations that hosts have marked as leaving, by upstream id.
type marks map[string][][]byte

func leavingMarks(entries []peer.Entry) marks {
	m := make(marks)
	for _, e := range entries {
		m[e.Key] = append(m[e.Key], e.Value)
	}
	return m
}

func (m marks) holds(member platform.Member) bool {
	return slices.ContainsFunc(m[member.ID], func(incarnation []byte) bool {
		return bytes.Equal(incarnation, []byte(member.Incarnation))
	})
}
