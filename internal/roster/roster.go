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

// lookInterval is the time between two reads of the heartbeats of all hosts.
const lookInterval = 300 * time.Millisecond

// FollowConfig returns the configuration for following the table of heartbeats.
func (r *Roster) FollowConfig() follow.Config {
	return follow.Config{Table: Table, AllParts: true, ChangesOnly: true, MinInterval: lookInterval, IntervalFactor: r.IntervalFactor}
}

// Table is the table of heartbeat rows. Each host has its own part, because the
// row service executes the transactions of one part sequentially.
const Table = "hosts"

// rowID returns the id of a host's row.
func rowID(host string) platform.RowID {
	return platform.RowID{Table: Table, Part: host, Key: "heartbeat"}
}

const (
	// DeadAfter is how long a row must be unchanged before its host counts as dead:
	// three heartbeat intervals plus the time to read the row.
	DeadAfter = 1500 * time.Millisecond
	// longestDelay is the maximum that a slow store adds to DeadAfter.
	longestDelay = 3 * time.Second
	// lateAfter is how long a row may be unchanged before its host gets no new work.
	lateAfter = 900 * time.Millisecond
	// longestGap is the longest time between two reads that counts as continuous.
	// After a longer one, the time of every unchanged row starts anew.
	longestGap = 800 * time.Millisecond
	// unstretchedHosts is the number of hosts up to which these times, and the
	// intervals of heartbeats and reads, apply. With more hosts all of them grow in
	// proportion to keep the total number of calls per second constant.
	unstretchedHosts = 100
	// forgetAfter is how long the unchanged row of a host is kept.
	forgetAfter = time.Minute
)

// State says whether a host takes new work.
type State string

// States of a host.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Host is the content of a host's heartbeat row.
type Host struct {
	ID string `json:"id"`
	// Incarnation differs between two processes of one host.
	Incarnation string `json:"incarnation"`
	// Address is the ip:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Cores is the number of CPU cores available to the host; zero if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Beat grows with each heartbeat.
	Beat uint64 `json:"beat"`
	// Stretch multiplies the host's heartbeat interval; zero means 1.
	Stretch float64 `json:"stretch,omitempty"`
}

// within scales a time, given for the usual heartbeat interval, to this host's.
func (h Host) within(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * max(1, h.Stretch))
}

type entry struct {
	host    Host
	version uint64
	// seen is the store's clock when this version of the row was first read.
	seen time.Duration
}

// Roster is this host's view of all hosts. It implements follow.Sink for Table.
type Roster struct {
	log logr.Logger

	mu      sync.Mutex
	entries map[string]*entry
	// fresh holds the entries that changed since the last call of Synced.
	fresh []*entry
	// clock is the store's clock at its last answer; asked is when this host sent
	// the request for it.
	clock time.Duration
	asked time.Time
	// since is the store's clock at the start of the current reads without a gap.
	since time.Duration
	// delay is added to DeadAfter and lateAfter because of the store's latency.
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
		r.log.Info("invalid host row ignored", "host", row.Part, "version", row.Version)
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

// SetDelay records the store's current write latency. A slow store delays the
// heartbeats of all hosts, so twice the latency is added to DeadAfter.
func (r *Roster) SetDelay(write time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = min(longestDelay, 2*write)
}

// IntervalFactor returns the factor for the intervals between heartbeats and between
// reads of shared tables: 1 for up to 100 hosts, then in proportion to their number.
func (r *Roster) IntervalFactor() float64 { return r.IntervalFactorAbove(unstretchedHosts) }

// IntervalFactorAbove is like IntervalFactor for intervals that apply to up to the given number
// of hosts.
func (r *Roster) IntervalFactorAbove(hosts int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stretchFrom(hosts)
}

func (r *Roster) stretchFrom(hosts int) float64 {
	return max(1, float64(len(r.entries))/float64(hosts))
}

// usual returns a host with the heartbeat interval for the current number of
// hosts. The caller holds mu.
func (r *Roster) usual() Host { return Host{Stretch: r.stretchFrom(unstretchedHosts)} }

// StoreClock returns the store's clock at its last answer, and the time on this host's
// clock when the request for it was sent.
func (r *Roster) StoreClock() (time.Duration, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock, r.asked
}

// Alive reports whether an incarnation of a host is alive. A host without a row
// counts as alive until this host has read the rows long enough to see a heartbeat.
func (r *Roster) Alive(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return r.clock-r.since <= r.usual().within(DeadAfter)+r.delay
	}
	return e.host.Incarnation == incarnation && !r.dead[id]
}

// Hosts returns the live hosts that take new work, ordered by id.
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

// Forgettable returns the rows that have not changed for forgetAfter, as checks of
// the transactions that delete them.
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

// Forget removes a host from this view unless its row has changed since. A host
// that is alive after all reappears with its next heartbeat.
func (r *Roster) Forget(row platform.RowCheck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[row.Part]; e != nil && e.version == row.Version {
		delete(r.entries, row.Part)
		delete(r.dead, row.Part)
	}
}

// Rank returns a host's position, starting at 0, in the order in which live hosts
// take up a piece of work. It is the order of a rendezvous hash of key and host id,
// except that small hosts come last.
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

// able reports whether a host has at least half as many cores as the largest one.
// Smaller hosts come last in each order.
func (h Host) able(most float64) bool { return h.Cores >= most/2 }

func mostCores(hosts []Host) float64 {
	most := 0.0
	for _, host := range hosts {
		most = max(most, host.Cores)
	}
	return most
}

// before reports whether host a comes before host b in the order for a key.
func before(key string, a, b Host, most float64) bool {
	if a.able(most) != b.able(most) {
		return a.able(most)
	}
	x, y := weight(key, a.ID), weight(key, b.ID)
	return x > y || x == y && a.ID < b.ID
}

// PreferredHost returns the first host in the order for a key, among the live hosts that
// take new work and whose row changed within lateAfter.
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

// weight hashes a key and a host id.
func weight(key, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// FNV mixes the last bytes poorly, which matters for ids that differ only there.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
