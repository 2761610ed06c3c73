package roster

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// lookInterval is the time between two looks at the heartbeats of all hosts.
const lookInterval = 300 * time.Millisecond

// FollowConfig is how the table of heartbeats is followed for a roster.
func (r *Roster) FollowConfig() follow.Config {
	return follow.Config{Table: Table, AllParts: true, ChangesOnly: true, MinInterval: lookInterval, IntervalFactor: r.IntervalFactor}
}

// Table is the table of heartbeat rows. Each host has a part of its own, since
// the service does the transactions of one part one after the other.
const Table = "hosts"

// rowID names a host's row.
func rowID(host string) platform.RowID {
	return platform.RowID{Table: Table, Part: host, Key: "heartbeat"}
}

const (
	// DeadAfter is how long a row stands still before its host is held dead:
	// three heartbeats and the time to see them.
	DeadAfter = 1500 * time.Millisecond
	// longestDelay bounds what a slow store adds to that.
	longestDelay = 3 * time.Second
	// lateAfter is how long a row may stand still for its host to get new work.
	lateAfter = 900 * time.Millisecond
	// longestGap is the longest time between two looks at the rows within which
	// a row that stood still says something about its host.
	longestGap = 800 * time.Millisecond
	// unstretchedHosts is the number of hosts up to which these times and those
	// between heartbeats and looks hold. With more of them all grow in proportion,
	// so that the calls of all hosts together do not.
	unstretchedHosts = 100
	// forgetAfter is how long the row of a dead host is kept.
	forgetAfter = time.Minute
)

// State says whether a host takes new work.
type State string

// States of a host.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Host is a host's heartbeat row.
type Host struct {
	ID string `json:"id"`
	// Incarnation differs between two processes of one host.
	Incarnation string `json:"incarnation"`
	// Address is the ip:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Cores is the processor time that the host has, in cores; zero if not known.
	Cores float64 `json:"cores,omitempty"`
	// Beat grows with each heartbeat.
	Beat uint64 `json:"beat"`
	// Stretch is how many times the usual time the host leaves between two heartbeats; zero means once.
	Stretch float64 `json:"stretch,omitempty"`
}

// within returns a time for a host with the usual heartbeat as it is for this one.
func (h Host) within(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * max(1, h.Stretch))
}

type entry struct {
	host    Host
	version uint64
	// seen is the store's clock when the row was first seen at its version.
	seen time.Duration
}

// Roster is the view of all hosts. It is a sink of the table's follower.
type Roster struct {
	log logr.Logger

	mu      sync.Mutex
	entries map[string]*entry
	fresh   []*entry
	clock   time.Duration
	asked   time.Time
	// since is the store's clock from which on all heartbeats were seen.
	since time.Duration
	// delay is added to the time after which a host is held dead.
	delay time.Duration
	dead  map[string]bool
}

// New returns an empty roster.
func New(log logr.Logger) *Roster {
	return &Roster{log: log, entries: map[string]*entry{}, dead: map[string]bool{}}
}

// Changed implements follow.Sink.
func (r *Roster) Changed(row platform.VersionedRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row.Deleted {
		delete(r.entries, row.Part)
		delete(r.dead, row.Part)
		return
	}
	var host Host
	if err := json.Unmarshal(row.Value, &host); err != nil || host.ID != row.Part {
		r.log.Info("host row can't be read", "host", row.Part, "version", row.Version)
		return
	}
	e := &entry{host: host, version: row.Version}
	if old := r.entries[row.Part]; old == nil || old.host.Incarnation != host.Incarnation || old.host.State != host.State {
		r.log.Info("host seen", "id", host.ID, "incarnation", host.Incarnation, "state", host.State)
	}
	r.entries[row.Part] = e
	r.fresh = append(r.fresh, e)
}

// Synced implements follow.Sink.
func (r *Roster) Synced(now time.Duration, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.clock > r.usual().within(longestGap) {
		r.since = now
		for _, e := range r.entries {
			e.seen = now
		}
	}
	for _, e := range r.fresh {
		e.seen = now
	}
	r.fresh = r.fresh[:0]
	r.clock, r.asked = now, asked
	for id, e := range r.entries {
		dead := now-e.seen > e.host.within(DeadAfter)+r.delay
		if dead != r.dead[id] {
			r.log.Info("host's heartbeat", "id", id, "dead", dead, "still_for", now-e.seen)
		}
		r.dead[id] = dead
	}
}

// SetDelay takes in how long the store takes for a write now: a slow store delays
// the heartbeats of all.
func (r *Roster) SetDelay(write time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = min(longestDelay, 2*write)
}

// IntervalFactor is how many times as long as usual hosts wait between heartbeats and
// between looks at shared tables: 1 up to unstretchedHosts, then in proportion.
func (r *Roster) IntervalFactor() float64 { return r.IntervalFactorAbove(unstretchedHosts) }

// IntervalFactorAbove is Stretch for times that hold up to another number of hosts.
func (r *Roster) IntervalFactorAbove(hosts int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stretchFrom(hosts)
}

func (r *Roster) stretchFrom(hosts int) float64 {
	return max(1, float64(len(r.entries))/float64(hosts))
}

// usual is a host that keeps to the times for the present number of hosts. The caller holds mu.
func (r *Roster) usual() Host { return Host{Stretch: r.stretchFrom(unstretchedHosts)} }

// StoreClock returns the store's clock at the last answer, and when that was asked for.
func (r *Roster) StoreClock() (time.Duration, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock, r.asked
}

// Alive reports whether an incarnation of a host is alive. A host without a row
// is not, once it would have shown itself by a heartbeat.
func (r *Roster) Alive(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return r.clock-r.since <= r.usual().within(DeadAfter)+r.delay
	}
	return e.host.Incarnation == incarnation && !r.dead[id]
}

// Hosts returns the live hosts that take new work, in the order of their ids.
func (r *Roster) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Host, 0, len(r.entries))
	for id, e := range r.entries {
		if !r.dead[id] && e.host.State == Serving {
			hosts = append(hosts, e.host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return hosts
}

// Forgettable returns the rows of hosts that have been dead for long.
func (r *Roster) Forgettable() []platform.RowCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []platform.RowCheck
	for id, e := range r.entries {
		if r.clock-e.seen > forgetAfter {
			rows = append(rows, platform.RowCheck{RowID: rowID(id), Version: e.version})
		}
	}
	return rows
}

// Forget drops what is known of a host unless its row has changed since. A host
// that still is there shows itself by its next heartbeat.
func (r *Roster) Forget(row platform.RowCheck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[row.Part]; e != nil && e.version == row.Version {
		delete(r.entries, row.Part)
		delete(r.dead, row.Part)
	}
}

// Rank returns a host's place in the order in which live hosts take up a piece
// of work, 0 first. The order differs from key to key.
func (r *Roster) Rank(key, id string) int {
	hosts := r.Hosts()
	most := mostCores(hosts)
	var self Host
	for _, host := range hosts {
		if host.ID == id {
			self = host
		}
	}
	self.ID = id
	rank := 0
	for _, host := range hosts {
		if host.ID != id && before(key, host, self, most) {
			rank++
		}
	}
	return rank
}

// able reports whether a host has enough processor time for the work of one
// host; where hosts differ, the small ones come last.
func (h Host) able(most float64) bool { return h.Cores >= most/2 }

func mostCores(hosts []Host) float64 {
	most := 0.0
	for _, host := range hosts {
		most = max(most, host.Cores)
	}
	return most
}

// before reports whether a host comes before another in the order for a key.
func before(key string, a, b Host, most float64) bool {
	if a.able(most) != b.able(most) {
		return a.able(most)
	}
	x, y := weight(key, a.ID), weight(key, b.ID)
	return x > y || x == y && a.ID < b.ID
}

// First returns the live host that comes first in the order for a key, among
// those whose heartbeat was seen lately.
func (r *Roster) PreferredHost(key string) (id, incarnation string, ok bool) {
	r.mu.Lock()
	var hosts []Host
	for _, e := range r.entries {
		if !r.dead[e.host.ID] && e.host.State == Serving && r.clock-e.seen <= e.host.within(lateAfter)+r.delay {
			hosts = append(hosts, e.host)
		}
	}
	r.mu.Unlock()
	if len(hosts) == 0 {
		return "", "", false
	}
	most, best := mostCores(hosts), hosts[0]
	for _, host := range hosts[1:] {
		if before(key, host, best, most) {
			best = host
		}
	}
	return best.ID, best.Incarnation, true
}

func weight(key, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// The last bytes of an FNV hash mix badly for ids that differ at their end only.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
