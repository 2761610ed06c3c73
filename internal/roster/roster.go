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

// minReadInterval is the least time between two reads of the heartbeats of all hosts.
const minReadInterval = 300 * time.Millisecond

// FollowConfig returns the configuration for following the table of heartbeats.
func (r *Roster) FollowConfig() follow.Config {
	return follow.Config{Table: Table, AllParts: true, ChangesOnly: true, MinInterval: minReadInterval, IntervalFactor: r.IntervalFactor}
}

// Table is the table of heartbeat rows. Each host has its own part, because the
// row store executes the transactions of one part sequentially.
const Table = "hosts"

// rowID returns the id of a host's row.
func rowID(host string) platform.RowID {
	return platform.RowID{Table: Table, Part: host, Key: "heartbeat"}
}

const (
	// DeadAfter is how long a row must be unchanged before its host counts as dead:
	// three heartbeat intervals plus the time to read the row.
	DeadAfter = 1500 * time.Millisecond
	// maxExtraDelay is the maximum that a slow store adds to DeadAfter and noNewWorkAfter.
	maxExtraDelay = 3 * time.Second
	// noNewWorkAfter is how long a row may be unchanged before its host gets no new work.
	noNewWorkAfter = 900 * time.Millisecond
	// maxReadGap is the longest gap between two reads that counts as continuous.
	// After a longer one, the time for which a row is unchanged starts again for all rows.
	maxReadGap = 800 * time.Millisecond
	// unscaledHosts is the number of hosts up to which these times, and the
	// intervals of heartbeats and reads, apply unchanged. With more hosts all of them
	// grow in proportion to keep the total number of calls per second constant.
	unscaledHosts = 100
	// keepRowFor is how long the unchanged row of a host is kept.
	keepRowFor = time.Minute
)

// State tells whether a host takes new work.
type State string

// States of a host.
const (
	// StateServing hosts take new work.
	StateServing State = "serving"
	// StateLeaving hosts are draining and take no new work.
	StateLeaving State = "leaving"
)

// Host is the content of a host's heartbeat row.
type Host struct {
	ID string `json:"id"`
	// Incarnation differs between two processes of one host.
	Incarnation string `json:"incarnation"`
	// Address is the ip:port for callers.
	Address string `json:"address"`
	// PeerPort is the port for other hosts, at the IP address of Address; zero if the
	// host takes no calls from them.
	PeerPort      uint16 `json:"peer_port,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Cores is the number of CPU cores available to the host; zero if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Sequence increases with each heartbeat.
	Sequence uint64 `json:"beat"`
	// IntervalFactor multiplies the host's heartbeat interval; zero means 1.
	IntervalFactor float64 `json:"stretch,omitempty"`
	// Demand is the host's demand for services whose replicas name limits, in requests
	// per second.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Requests is the number of the host's requests in flight, by service, for services
	// whose replicas are ordered.
	Requests map[string]int `json:"requests,omitempty"`
	// ClockOffset is the difference between the host's time of day, since the start of 1970, and
	// the store clock, in milliseconds; zero if it announces none.
	ClockOffset int64 `json:"clock_ms,omitempty"`
}

// scaled returns a time, which is given for the usual heartbeat interval, scaled to
// this host's interval.
func (h Host) scaled(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * max(1, h.IntervalFactor))
}

type entry struct {
	host    Host
	version uint64
	// seen is the time on the store clock when this version of the row was first read.
	seen time.Duration
}

// Roster is this host's view of all hosts. It implements follow.Sink for Table.
type Roster struct {
	log logr.Logger

	mu      sync.Mutex
	entries map[string]*entry
	// changed holds the entries that changed since the last call of Synced.
	changed []*entry
	// storeClock is the store clock in the store's last reply; clockAsked is when this
	// host sent the request for it.
	storeClock time.Duration
	clockAsked time.Time
	// completeSince is the time on the store clock since which the rows have been read
	// without a gap.
	completeSince time.Duration
	// extraDelay is added to DeadAfter and noNewWorkAfter because of the store's latency.
	extraDelay time.Duration
	dead       map[string]bool
	// clockOffset is the median ClockOffset of the live hosts; zero if none announces one.
	clockOffset time.Duration
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
	r.changed = append(r.changed, e)
}

// Synced implements follow.Sink.
func (r *Roster) Synced(now time.Duration, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.storeClock > r.typicalHost().scaled(maxReadGap) {
		r.completeSince = now
		for _, e := range r.entries {
			e.seen = now
		}
	}
	for _, e := range r.changed {
		e.seen = now
	}
	r.changed = r.changed[:0]
	r.storeClock, r.clockAsked = now, asked
	for id, e := range r.entries {
		dead := now-e.seen > e.host.scaled(DeadAfter)+r.extraDelay
		if dead != r.dead[id] {
			r.log.Info("host's heartbeat", "id", id, "dead", dead, "still_for", now-e.seen)
		}
		r.dead[id] = dead
	}
	r.updateClockOffset()
}

// updateClockOffset computes clockOffset. The caller holds mu. With an even number of
// hosts the median is the mean of the middle two.
func (r *Roster) updateClockOffset() {
	var offsets []int64
	for id, e := range r.entries {
		if !r.dead[id] && e.host.ClockOffset != 0 {
			offsets = append(offsets, e.host.ClockOffset)
		}
	}
	if len(offsets) == 0 {
		// The last median still holds, since the store clock is steady.
		return
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	r.clockOffset = time.Duration(low+(high-low)/2) * time.Millisecond
}

// TrueTime returns the true time since the start of 1970 at a time of this host's
// monotonic clock: the store clock plus the median difference of the live hosts' time of
// day from it. So it does not follow a step of a minority of the clocks. It returns false
// until the store clock and a difference are known.
func (r *Roster) TrueTime(at time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockAsked.IsZero() || r.clockOffset == 0 {
		return 0, false
	}
	return r.storeClock + at.Sub(r.clockAsked) + r.clockOffset, true
}

// Unreachable reports whether a host that did not stop has been dead for less than a time.
func (r *Roster) Unreachable(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if r.dead[id] && r.storeClock-e.seen < within {
			return true
		}
	}
	return false
}

// SetWriteLatency records the store's current write latency. A slow store delays
// the heartbeats of all hosts, so twice the latency is added to DeadAfter and
// noNewWorkAfter, up to maxExtraDelay.
func (r *Roster) SetWriteLatency(write time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extraDelay = min(maxExtraDelay, 2*write)
}

// IntervalFactor returns the factor for the intervals between heartbeats and between
// reads of shared tables: 1 for up to 100 hosts, then in proportion to their number.
func (r *Roster) IntervalFactor() float64 { return r.IntervalFactorAbove(unscaledHosts) }

// IntervalFactorAbove is like IntervalFactor, for intervals that apply unchanged to
// up to the given number of hosts.
func (r *Roster) IntervalFactorAbove(hosts int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intervalFactorAbove(hosts)
}

func (r *Roster) intervalFactorAbove(hosts int) float64 {
	return max(1, float64(len(r.entries))/float64(hosts))
}

// typicalHost returns a host with the heartbeat interval for the current number of
// hosts. The caller holds mu.
func (r *Roster) typicalHost() Host {
	return Host{IntervalFactor: r.intervalFactorAbove(unscaledHosts)}
}

// StoreClock returns the store clock in the store's last reply, and the time on this
// host's clock when the request for it was sent. Both are zero before the first reply.
func (r *Roster) StoreClock() (time.Duration, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeClock, r.clockAsked
}

// Alive reports whether an incarnation of a host is alive. A host without a row
// counts as alive until this host has read the rows long enough to see a heartbeat.
func (r *Roster) Alive(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return r.storeClock-r.completeSince <= r.typicalHost().scaled(DeadAfter)+r.extraDelay
	}
	return e.host.Incarnation == incarnation && !r.dead[id]
}

// Host returns the row of a host, or the zero Host if it is not known.
func (r *Roster) Host(id string) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.host
	}
	return Host{}
}

// Hosts returns the live hosts that take new work, ordered by id.
func (r *Roster) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Host, 0, len(r.entries))
	for id, e := range r.entries {
		if !r.dead[id] && e.host.State == StateServing {
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

// Requests returns the number of requests in flight at all live hosts, by service.
func (r *Roster) Requests() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := map[string]int{}
	for id, e := range r.entries {
		if r.dead[id] {
			continue
		}
		for service, n := range e.host.Requests {
			sum[service] += max(0, n)
		}
	}
	return sum
}

// Demand returns the demand of each live host for a service; zero for those that announce
// none.
func (r *Roster) Demand(service string) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand := make(map[string]float64, len(r.entries))
	for id, e := range r.entries {
		if !r.dead[id] {
			demand[id] = e.host.Demand[service]
		}
	}
	return demand
}

// ExpiredRows returns the rows that have not changed for keepRowFor, as checks of
// the transactions that delete them.
func (r *Roster) ExpiredRows() []platform.RowCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []platform.RowCheck
	for id, e := range r.entries {
		if r.storeClock-e.seen > keepRowFor {
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
// except that small hosts come last. An id that is not among the live hosts is ranked
// as a host with zero cores.
func (r *Roster) Rank(key, id string) int {
	hosts := r.Hosts()
	most := maxCores(hosts)
	var self Host
	for _, host := range hosts {
		if host.ID == id {
			self = host
		}
	}
	self.ID = id
	rank := 0
	for _, host := range hosts {
		if host.ID != id && comesBefore(key, host, self, most) {
			rank++
		}
	}
	return rank
}

// hasEnoughCores reports whether a host has at least half of most, the number of
// cores of the largest host. Smaller hosts come last in each order.
func (h Host) hasEnoughCores(most float64) bool { return h.Cores >= most/2 }

func maxCores(hosts []Host) float64 {
	most := 0.0
	for _, host := range hosts {
		most = max(most, host.Cores)
	}
	return most
}

// comesBefore reports whether host a comes before host b in the order for a key.
func comesBefore(key string, a, b Host, most float64) bool {
	if a.hasEnoughCores(most) != b.hasEnoughCores(most) {
		return a.hasEnoughCores(most)
	}
	x, y := hashWeight(key, a.ID), hashWeight(key, b.ID)
	return x > y || x == y && a.ID < b.ID
}

// PreferredHost returns the first host in the order for a key, among the live hosts that
// take new work and whose row changed within noNewWorkAfter. ok is false if there
// is none.
func (r *Roster) PreferredHost(key string) (id, incarnation string, ok bool) {
	r.mu.Lock()
	var hosts []Host
	for _, e := range r.entries {
		if !r.dead[e.host.ID] && e.host.State == StateServing && r.storeClock-e.seen <= e.host.scaled(noNewWorkAfter)+r.extraDelay {
			hosts = append(hosts, e.host)
		}
	}
	r.mu.Unlock()
	if len(hosts) == 0 {
		return "", "", false
	}
	most, best := maxCores(hosts), hosts[0]
	for _, host := range hosts[1:] {
		if comesBefore(key, host, best, most) {
			best = host
		}
	}
	return best.ID, best.Incarnation, true
}

// hashWeight hashes a key and a host id.
func hashWeight(key, id string) uint64 {
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
