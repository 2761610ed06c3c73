package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// HomeRetention is how long a home-bound key is valid after its prefix was handed out.
	HomeRetention = 15 * time.Minute
	// maxClockSkew is the largest accepted difference between two hosts' wall clocks.
	maxClockSkew = 5 * time.Minute
	// maxRecords bounds the claims that one process keeps in memory.
	maxRecords = 1 << 17
	// maxAnswerBytes bounds the answers that one process keeps in memory, in bytes.
	maxAnswerBytes = 8 << 20
	// writtenKeyRetention is how long a caller-made key stays in memory after its result was written to the table,
	// or was adopted from another claim.
	writtenKeyRetention = time.Minute
	// abandonedClaimRetention is how long a process remembers that it abandoned a claim.
	abandonedClaimRetention = 10 * time.Minute
)

// record is the in-memory form of this process's claim of one idempotency key. Its
// result is set before done is closed.
type record struct {
	// id is the tenant and the key, see Request.id.
	id string
	// nonce identifies the claim across hosts.
	nonce string
	// rowKey is the key of the row in the table; unused for a home-bound key.
	rowKey      string
	fingerprint Fingerprint
	// home is true for a home-bound key.
	home bool
	// mayBeInTable is true once the claim's row may be in the idempotency table of the platform.
	mayBeInTable bool
	// done is closed when the record is finished.
	done   chan struct{}
	result Result
	// abandoned is true if the request did not run under this claim and never will.
	abandoned bool
	// expiresAt is when the record may be evicted; zero while it must be kept.
	expiresAt time.Time
}

// finished reports whether the record is finished.
func (r *record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// recordStore holds the records of this process in memory.
type recordStore struct {
	mu sync.Mutex
	// byID holds the current record of each key.
	byID map[string]*record
	// byNonce holds all claims of this process, including abandoned ones.
	byNonce map[string]*record
	// answerBytes is the total size of the kept answers, in bytes.
	answerBytes int
	// answered holds the home-bound records with an answer, oldest first. Some may have been evicted.
	answered []*record
}

func newRecordStore() *recordStore {
	return &recordStore{byID: make(map[string]*record), byNonce: make(map[string]*record)}
}

// find returns the record of a key, or nil. The error is KeyReused if the
// record has another fingerprint.
func (s *recordStore) find(id string, f Fingerprint) (*record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r != nil && r.fingerprint != f {
		return nil, keyReused()
	}
	return r, nil
}

// findOrCreate returns the record of a key. If created is true, the caller must
// finish the record. The error is KeyReused as in find, or QueueFull.
func (s *recordStore) findOrCreate(id, rowKey string, f Fingerprint, home bool) (r *record, created bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.byID[id]; r != nil {
		if r.fingerprint != f {
			return nil, false, keyReused()
		}
		return r, false, nil
	}
	if len(s.byNonce) >= maxRecords {
		return nil, false, failure.New(failure.QueueFull, failure.NotRun, "this host keeps too many idempotency keys").
			WithLimit(strconv.Itoa(maxRecords) + " keys")
	}
	r = &record{id: id, rowKey: rowKey, nonce: uuid.NewString(), fingerprint: f, home: home, done: make(chan struct{})}
	s.byID[id] = r
	s.byNonce[r.nonce] = r
	return r, true, nil
}

// finalState is the final state of a finished record.
type finalState struct {
	result    Result
	abandoned bool
	// reusable is true if the next request with the key starts a new claim.
	reusable bool
	// expiresAt is zero for a record that must be kept.
	expiresAt time.Time
}

// finish finishes a record. If its key is reusable, the record is removed from byID.
// It stays in byNonce until it expires, because another host may ask whether it can
// take over the claim; if the row cannot be in the table, it is removed there too.
func (s *recordStore) finish(r *record, final finalState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := final.result
	if res.Answer != nil {
		res = s.keepAnswer(r, res)
	}
	r.result, r.abandoned, r.expiresAt = res, final.abandoned, final.expiresAt
	if final.reusable && s.byID[r.id] == r {
		delete(s.byID, r.id)
	}
	if final.reusable && !r.mayBeInTable {
		// The claim is not in the table, so no other host can ask for it.
		delete(s.byNonce, r.nonce)
	}
	close(r.done)
}

// keepAnswer accounts for the answer in res, dropping the oldest answers of
// home-bound keys if there is no room. Answers of other keys stay until their
// records are evicted; if this process must write the result to the table, that is
// after the write. If there is still no room, keepAnswer returns a result
// without the answer. The caller holds mu.
func (s *recordStore) keepAnswer(r *record, res Result) Result {
	size := res.Answer.size()
	for s.answerBytes+size > maxAnswerBytes && len(s.answered) > 0 {
		s.dropAnswer(s.answered[0])
		s.answered = s.answered[1:]
	}
	if s.answerBytes+size > maxAnswerBytes {
		return answerNotKept()
	}
	s.answerBytes += size
	if r.home {
		s.answered = append(s.answered, r)
	}
	return res
}

// dropAnswer replaces a record by a copy without the answer. The old record is
// not changed because requests may be reading it. The caller holds mu.
func (s *recordStore) dropAnswer(old *record) {
	if s.byNonce[old.nonce] != old {
		return
	}
	s.answerBytes -= old.result.Answer.size()
	r := *old
	r.result = answerNotKept()
	s.byNonce[r.nonce] = &r
	if s.byID[r.id] == old {
		s.byID[r.id] = &r
	}
}

// setExpiry sets when a finished record may be evicted.
func (s *recordStore) setExpiry(r *record, expiresAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.expiresAt = expiresAt
}

// evictExpired removes the records that have expired at now.
func (s *recordStore) evictExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nonce, r := range s.byNonce {
		if r.expiresAt.IsZero() || now.Before(r.expiresAt) {
			continue
		}
		delete(s.byNonce, nonce)
		if s.byID[r.id] == r {
			delete(s.byID, r.id)
		}
		if r.result.Answer != nil {
			s.answerBytes -= r.result.Answer.size()
		}
	}
	for len(s.answered) > 0 && s.byNonce[s.answered[0].nonce] != s.answered[0] {
		s.answered = s.answered[1:]
	}
}

// findByNonce returns this process's claim with a nonce, or nil.
func (s *recordStore) findByNonce(nonce string) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byNonce[nonce]
}

// wait waits for a record to finish and returns its result. The error is
// DeadlineExceeded if ctx ends first.
func (r *record) wait(ctx context.Context) (Result, error) {
	select {
	case <-r.done:
		return r.result, nil
	case <-ctx.Done():
		return Result{}, failure.New(failure.DeadlineExceeded, failure.Unknown, "the request with this idempotency key still runs")
	}
}

// keyReused returns the error of a key that was used for another request.
func keyReused() error {
	return failure.New(failure.KeyReused, failure.NotRun, "the idempotency key was used for another request").
		WithField(entryapi.HeaderIdempotencyKey)
}
