package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// memberEvent is a renewal or a removal that the list does not show yet.
type memberEvent struct {
	at      time.Time
	id      string
	removed bool
	member  platform.Member
}

// renewedMember is a member with the time of its latest renewal.
type renewedMember struct {
	member  platform.Member
	renewed time.Time
}

// members is the membership list. It shows changes with a delay.
type members struct {
	// ttl is the time after which a member that was not renewed is removed.
	ttl time.Duration

	mu sync.Mutex
	// pending holds the events that the list does not show yet, in order of time.
	pending []memberEvent
	// shown holds the members on the list, by id.
	shown map[string]renewedMember
}

func newMembers(ttl time.Duration) *members {
	return &members{ttl: ttl, shown: map[string]renewedMember{}}
}

// register adds a member or renews its entry.
func (m *members) register(member platform.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, memberEvent{at: now, id: member.ID, member: member})
}

// deregister removes a member.
func (m *members) deregister(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, memberEvent{at: now, id: id, removed: true})
}

// list applies the events up to lag before now and returns the members at that
// time, sorted by id. A larger lag than before does not undo events already applied.
func (m *members) list(now time.Time, lag time.Duration) []platform.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	asOf := now.Add(-lag)
	m.catchUp(asOf)
	all := make([]platform.Member, 0, len(m.shown))
	for id, shown := range m.shown {
		if asOf.Sub(shown.renewed) > m.ttl {
			delete(m.shown, id)
			continue
		}
		all = append(all, shown.member)
	}
	slices.SortFunc(all, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// catchUp applies the pending events up to asOf; m.mu is held.
func (m *members) catchUp(asOf time.Time) {
	done := 0
	for _, event := range m.pending {
		if event.at.After(asOf) {
			break
		}
		done++
		if event.removed {
			delete(m.shown, event.id)
			continue
		}
		m.shown[event.id] = renewedMember{member: event.member, renewed: event.at}
	}
	m.pending = slices.Delete(m.pending, 0, done)
}
