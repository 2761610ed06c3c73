package load

import (
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/service"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// executionRecords holds the executions that the upstreams recorded.
type executionRecords struct {
	// runsByRecordID counts executions by body hash (services) or generation id
	// (engines); runsByKey counts them by idempotency key.
	runsByRecordID map[string]int
	runsByKey      map[string]int
	// producedTokens holds the token ranges that engines produced, by generation id.
	producedTokens map[string][]tokenRange
	// unread names the upstreams whose record could not be read.
	unread []string
}

// tokenRange is a range of tokens that one engine produced with one weight version.
type tokenRange struct {
	version uint64
	from    int
	to      int // exclusive
}

// readRecords reads the execution records of all services and engines.
func readRecords(upstreams []Upstream) *executionRecords {
	ev := &executionRecords{runsByRecordID: map[string]int{}, runsByKey: map[string]int{}, producedTokens: map[string][]tokenRange{}}
	for _, u := range upstreams {
		if u.Kind == PlatformUpstream {
			continue
		}
		entries, err := control.NewClient(u.Control).Log(0)
		if err != nil {
			ev.unread = append(ev.unread, u.Name)
			continue
		}
		switch u.Kind {
		case ServiceUpstream:
			ev.addService(entries)
		case EngineUpstream:
			ev.addEngine(entries)
		}
	}
	return ev
}

func (ev *executionRecords) addService(entries []standinapi.LogEntry) {
	for _, e := range entries {
		if e.Event != service.EventRun {
			continue
		}
		ev.runsByRecordID[e.BodyHash]++
		if e.Key != "" {
			ev.runsByKey[e.Key]++
		}
	}
}

// addEngine adds an engine's record. A segment ends where the next segment of the
// same run starts, or where the run finished or was cancelled. The last segment of
// a run that did neither has no known end and is taken as the longest possible.
func (ev *executionRecords) addEngine(entries []standinapi.LogEntry) {
	open := map[string]standinapi.LogEntry{} // last segment, by request id
	for _, e := range entries {
		switch e.Event {
		case engine.EventRun:
			ev.runsByRecordID[e.Generation]++
			delete(open, e.RequestID)
		case engine.EventSegment, engine.EventFinish, engine.EventCancel:
			if last, ok := open[e.RequestID]; ok && e.Offset > last.Offset {
				ev.addRange(last, e.Offset)
			}
			delete(open, e.RequestID)
			if e.Event == engine.EventSegment {
				open[e.RequestID] = e
			}
		}
	}
	for _, last := range open {
		ev.addRange(last, engine.DefaultMaxTokens)
	}
}

func (ev *executionRecords) addRange(segment standinapi.LogEntry, to int) {
	ev.producedTokens[segment.Generation] = append(ev.producedTokens[segment.Generation], tokenRange{version: segment.Version, from: segment.Offset, to: to})
}

// produced reports whether engines produced the tokens [from, to) of a generation
// with a version. Several runs may have produced parts of the range.
func (ev *executionRecords) produced(generation string, version uint64, from, to int) bool {
	for at := from; at < to; {
		next := at
		for _, m := range ev.producedTokens[generation] {
			if m.version == version && m.from <= at && m.to > next {
				next = m.to
			}
		}
		if next == at {
			return false
		}
		at = next
	}
	return true
}
