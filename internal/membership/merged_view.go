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
	// leavingMarkTTL is how long a leaving mark is valid unless it is renewed.
	leavingMarkTTL = time.Minute
	// absentGrace is how long a member is kept after it disappears from the
	// platform's list. After a restart of the platform the list is empty at first.
	absentGrace = 5 * time.Second
)

// MergedView is a View that merges the platform's list with leaving marks.
type MergedView struct {
	peers peer.Exchange

	mu sync.Mutex
	// members holds the upstreams by id: those of the last list, and missing ones
	// for absentGrace.
	members map[string]trackedMember
	// hosts holds the hosts of the last list.
	hosts []platform.Member
	// listedAt is the time of the last list; zero before the first.
	listedAt time.Time
	// marked holds the last leaving mark that this host published, by upstream id.
	marked map[string]publishedMark

	pools atomic.Pointer[map[string][]Upstream]
}

// publishedMark is a leaving mark that this host has published.
type publishedMark struct {
	incarnation string
	at          time.Time
}

// trackedMember is an upstream, with the time since which it is missing from lists.
type trackedMember struct {
	platform.Member
	// missingSince is the time of the first list without the upstream; zero if the
	// last list had it.
	missingSince time.Time
}

// NewMergedView returns a View without members.
func NewMergedView(peers peer.Exchange) *MergedView {
	return &MergedView{peers: peers, members: make(map[string]trackedMember), marked: make(map[string]publishedMark)}
}

// Upstreams implements View.
func (v *MergedView) Upstreams(pool string) []Upstream {
	pools := v.pools.Load()
	if pools == nil {
		return nil
	}
	return (*pools)[pool]
}

// Ready implements View.
func (v *MergedView) Ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.listedAt.IsZero()
}

// MarkLeaving implements View. The mark applies only to the upstream's current
// incarnation: a restarted upstream gets work again. MarkLeaving has no effect for an
// unknown upstream, or within half of leavingMarkTTL after this host marked the same
// incarnation.
func (v *MergedView) MarkLeaving(upstreamID string) {
	v.mu.Lock()
	member, ok := v.members[upstreamID]
	last := v.marked[upstreamID]
	fresh := last.incarnation == member.Incarnation && time.Since(last.at) < leavingMarkTTL/2
	if !ok || fresh {
		v.mu.Unlock()
		return
	}
	v.marked[upstreamID] = publishedMark{incarnation: member.Incarnation, at: time.Now()}
	v.mu.Unlock()
	v.peers.Publish(peer.TopicLeaving, upstreamID, []byte(member.Incarnation), leavingMarkTTL)
	v.Rebuild()
}

// Update replaces the members by a list as of the time listed, and marks the
// upstreams that it shows as leaving. A list that is not newer than the last one is
// ignored.
func (v *MergedView) Update(list []platform.Member, listed time.Time) {
	v.mu.Lock()
	if !listed.After(v.listedAt) {
		v.mu.Unlock()
		return
	}
	v.listedAt = listed
	v.replaceMembers(list)
	maps.DeleteFunc(v.marked, func(_ string, m publishedMark) bool { return time.Since(m.at) > leavingMarkTTL })
	v.mu.Unlock()
	v.markListedLeaving(list)
	v.Rebuild()
}

// replaceMembers replaces the members by those of a list, and keeps members that
// are missing from it for absentGrace. The caller holds mu.
func (v *MergedView) replaceMembers(list []platform.Member) {
	v.hosts = nil
	next := make(map[string]trackedMember, len(list))
	for _, m := range list {
		if m.Kind == platform.HostMember {
			v.hosts = append(v.hosts, m)
			continue
		}
		next[m.ID] = trackedMember{Member: m}
	}
	for id, old := range v.members {
		if _, ok := next[id]; ok {
			continue
		}
		if old.missingSince.IsZero() {
			old.missingSince = v.listedAt
		}
		if v.listedAt.Sub(old.missingSince) < absentGrace {
			next[id] = old
		}
	}
	v.members = next
}

// markListedLeaving marks the upstreams that the platform's list shows as leaving,
// for the other hosts, whose lists may be older.
func (v *MergedView) markListedLeaving(list []platform.Member) {
	marks := leavingMarks(v.peers.Entries(peer.TopicLeaving))
	for _, m := range list {
		if m.Kind != platform.HostMember && m.State == platform.MemberLeaving && !marks.contains(m) {
			v.MarkLeaving(m.ID)
		}
	}
}

// List returns all known members and the time of the last list.
func (v *MergedView) List() ([]platform.Member, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := slices.Clone(v.hosts)
	for _, m := range v.members {
		list = append(list, m.Member)
	}
	return list, v.listedAt
}

// Run merges again after each change of the leaving marks, until ctx ends.
func (v *MergedView) Run(ctx context.Context) error {
	changes := v.peers.Watch(peer.TopicLeaving)
	for {
		select {
		case <-changes:
			v.Rebuild()
		case <-ctx.Done():
			return nil
		}
	}
}

// Rebuild merges the list with the leaving marks of all hosts.
func (v *MergedView) Rebuild() {
	marks := leavingMarks(v.peers.Entries(peer.TopicLeaving))
	v.mu.Lock()
	defer v.mu.Unlock()
	pools := make(map[string][]Upstream)
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[id].Member
		pools[m.Pool] = append(pools[m.Pool], Upstream{
			ID:            m.ID,
			Kind:          m.Kind,
			Pool:          m.Pool,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
			Region:        m.Region,
			Incarnation:   m.Incarnation,
			Leaving:       m.State == platform.MemberLeaving || marks.contains(m),
		})
	}
	v.pools.Store(&pools)
}

// marks holds the incarnations that hosts have marked as leaving, by upstream id.
type marks map[string][][]byte

// leavingMarks returns the marks in the entries of peer.TopicLeaving.
func leavingMarks(entries []peer.Entry) marks {
	m := make(marks)
	for _, e := range entries {
		m[e.Key] = append(m[e.Key], e.Value)
	}
	return m
}

// contains reports whether a member's current incarnation is marked.
func (m marks) contains(member platform.Member) bool {
	return slices.ContainsFunc(m[member.ID], func(incarnation []byte) bool {
		return bytes.Equal(incarnation, []byte(member.Incarnation))
	})
}
