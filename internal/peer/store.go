package peer

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// Limits of the store.
const (
	// maxValueBytes is the maximum size of an entry's value.
	maxValueBytes = 4 << 10
	// maxOriginEntries is the maximum number of entries of one process.
	maxOriginEntries = 4096
	// maxStoreBytes is the maximum size of the entries of all processes, in bytes, with entryOverhead for each.
	maxStoreBytes = 16 << 20
	// entryOverhead is the estimated memory of an entry besides its topic, key and value, in bytes.
	entryOverhead = 200
)

// lane is the priority of an entry. Urgent entries are sent at once. Bulk entries
// wait until a link sends a ping or an ack, and share a byte budget. Each lane of a
// process has its own sequence numbers.
type lane int

const (
	urgentLane lane = iota
	bulkLane
	laneCount
)

// laneOf returns the lane of a topic.
func laneOf(t Topic) lane {
	if t == TopicDemand || t == TopicWeights || t == TopicRollout {
		return bulkLane
	}
	return urgentLane
}

// sequences holds one sequence number for each lane.
type sequences [laneCount]uint64

// entryKey identifies an entry of one process.
type entryKey struct {
	topic Topic
	key   string
}

// origin holds the entries that one process published.
type origin struct {
	hostID      string
	incarnation string
	// seen is the highest sequence number received in each lane. The entries of a process are
	// sent in the order of their numbers, so all with lower numbers have been received too.
	seen    sequences
	entries map[entryKey]*storedEntry
}

// storedEntry is an entry in the store.
type storedEntry struct {
	entryKey
	origin  *origin
	lane    lane
	seq     uint64
	value   []byte
	deleted bool
	expires time.Time
	// arrival numbers the entries in the order of their arrival.
	arrival uint64
	// element is the entry's element in the store's order.
	element *list.Element
	// record is the decoded value of a TopicHost entry; nil until it is first used.
	record *hostRecord
}

// hostRecord returns the decoded value of a TopicHost entry, or nil if the value is
// invalid or names another host than the entry's origin.
func (e *storedEntry) hostRecord() *hostRecord {
	if e.record == nil {
		e.record = &hostRecord{}
		if !decode(e.value, e.record) {
			e.record.ID = ""
		}
	}
	if e.record.ID != e.origin.hostID {
		return nil
	}
	return e.record
}

func (e *storedEntry) size() int { return len(e.topic) + len(e.key) + len(e.value) + entryOverhead }

// update is an entry to be put into the store.
type update struct {
	hostID      string
	incarnation string
	seq         uint64
	topic       Topic
	key         string
	value       []byte
	deleted     bool
	ttl         time.Duration
}

// store holds the entries of all processes. It is not safe for concurrent use.
type store struct {
	// origins are the publishing processes, by incarnation.
	origins map[string]*origin
	topics  map[Topic]map[*storedEntry]struct{}
	// order holds the entries of each lane in the order of arrival.
	order [laneCount]*list.List
	// arrivals is the arrival number of the newest entry.
	arrivals uint64
	// bytes is the total size of the entries.
	bytes int
}

func newStore() *store {
	s := &store{origins: make(map[string]*origin), topics: make(map[Topic]map[*storedEntry]struct{})}
	for i := range s.order {
		s.order[i] = list.New()
	}
	return s
}

// put stores an update unless it was already received. The update replaces the
// previous entry of its key. If the store is full, that entry is removed, and the
// update is dropped but counts as received. put reports whether the entries of the
// topic have changed.
func (s *store) put(u update, now time.Time) bool {
	o := s.originOf(u)
	l := laneOf(u.topic)
	if u.seq <= o.seen[l] {
		return false
	}
	o.seen[l] = u.seq
	k := entryKey{topic: u.topic, key: u.key}
	old := o.entries[k]
	if old != nil {
		s.remove(old)
	}
	if s.full(o, u) {
		return old != nil
	}
	s.arrivals++
	e := &storedEntry{
		entryKey: k, origin: o, lane: l, seq: u.seq, value: u.value, deleted: u.deleted,
		expires: now.Add(u.ttl), arrival: s.arrivals,
	}
	e.element = s.order[l].PushBack(e)
	o.entries[k] = e
	if s.topics[u.topic] == nil {
		s.topics[u.topic] = make(map[*storedEntry]struct{})
	}
	s.topics[u.topic][e] = struct{}{}
	s.bytes += e.size()
	return true
}

func (s *store) originOf(u update) *origin {
	o, ok := s.origins[u.incarnation]
	if !ok {
		o = &origin{hostID: u.hostID, incarnation: u.incarnation, entries: make(map[entryKey]*storedEntry)}
		s.origins[u.incarnation] = o
	}
	return o
}

// full reports whether an update would exceed the limits. Host records are always accepted.
func (s *store) full(o *origin, u update) bool {
	if u.topic == TopicHost {
		return false
	}
	return len(o.entries) >= maxOriginEntries || s.bytes+len(u.value) > maxStoreBytes || len(u.value) > maxValueBytes
}

func (s *store) remove(e *storedEntry) {
	s.order[e.lane].Remove(e.element)
	delete(e.origin.entries, e.entryKey)
	delete(s.topics[e.topic], e)
	s.bytes -= e.size()
}

// expire removes the expired entries, and the origins without entries except the
// one with incarnation ownIncarnation. It returns the topics that changed.
func (s *store) expire(now time.Time, ownIncarnation string) []Topic {
	changed := make(map[Topic]bool)
	for incarnation, o := range s.origins {
		for _, e := range o.entries {
			if !now.Before(e.expires) {
				s.remove(e)
				changed[e.topic] = true
			}
		}
		if len(o.entries) == 0 && incarnation != ownIncarnation {
			delete(s.origins, incarnation)
		}
	}
	return slices.Collect(maps.Keys(changed))
}

// forEach calls visit with each entry of a topic that is neither deleted nor expired.
func (s *store) forEach(t Topic, now time.Time, visit func(e *storedEntry)) {
	for e := range s.topics[t] {
		if !e.deleted && now.Before(e.expires) {
			visit(e)
		}
	}
}

// digest returns the highest sequence numbers received, by incarnation.
func (s *store) digest() map[string]sequences {
	d := make(map[string]sequences, len(s.origins))
	for incarnation, o := range s.origins {
		d[incarnation] = o.seen
	}
	return d
}

// arrivedAfter returns the entries of a lane that arrived after cursor and are not in
// known, up to maxBytes but at least one, and the cursor for the next call.
func (s *store) arrivedAfter(l lane, cursor uint64, known map[string]sequences, maxBytes int) ([]*storedEntry, uint64) {
	element := s.order[l].Back()
	for element != nil && arrivalOf(element) > cursor {
		element = element.Prev()
	}
	if element == nil {
		element = s.order[l].Front()
	} else {
		element = element.Next()
	}
	var out []*storedEntry
	for ; element != nil; element = element.Next() {
		e, _ := element.Value.(*storedEntry)
		if e.seq <= known[e.origin.incarnation][l] {
			cursor = e.arrival
			continue
		}
		maxBytes -= e.size()
		if maxBytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
		cursor = e.arrival
	}
	return out, cursor
}

func arrivalOf(element *list.Element) uint64 {
	e, _ := element.Value.(*storedEntry)
	return e.arrival
}

// lastArrival returns the arrival number of a lane's newest entry; zero if it is empty.
func (s *store) lastArrival(l lane) uint64 {
	if element := s.order[l].Back(); element != nil {
		return arrivalOf(element)
	}
	return 0
}
