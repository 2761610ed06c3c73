package load

import (
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/service"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// executionRecords is what the upstreams recorded.
type executionRecords struct {
	// runsByRecordID and runsByKey count executions by body hash or generation, and by idempotency key.
	runsByRecordID map[string]int
	runsByKey   map[string]int
	// producedTokens holds, for each generation, which versions made which tokens.
	producedTokens map[string][]tokenRange
	// unread names the upstreams whose record could not be read.
	unread []string
}

// tokenRange is a run of tokens that one engine made with one version.
type tokenRange struct {
	version uint64
	from    int
	to      int // exclusive
}

// readRecords reads the records of all upstreams.
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

// addEngine takes an engine's record. A segment ends where the next one of the
// same run begins, or where the run finished or was cancelled; the last
// segment of a run that neither finished nor was cancelled has no known end.
func (ev *executionRecords) addEngine(entries []standinapi.LogEntry) {
	open := map[string]standinapi.LogEntry{} // the last segment by request id
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

// produced reports whether a version produced the tokens from to to of a generation. Several runs may have produced them together.
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
