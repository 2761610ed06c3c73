package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// LedgerTable is the table of the row store with the rows of a Ledger: one for each
// request and each process that crashed under it.
const LedgerTable = "crashes"

const (
	// crashesToRefuse is the number of crashed processes at which a request is refused.
	// Requests that were only beside the cause seldom meet that many crashes without
	// an answer between them.
	crashesToRefuse = 3
	// answeredFor is the least time for which a request counts as sound after an
	// answer; the most is twice that.
	answeredFor = 10 * time.Second
	// maxAnswered bounds the requests of which the last answer is remembered.
	maxAnswered = 8192
	// ledgerPollInterval is the least time between two requests for changed records.
	ledgerPollInterval = 50 * time.Millisecond
	// ledgerPollWait is how long the store holds such a request open.
	ledgerPollWait = time.Second
	// ledgerWriteTimeout bounds a write of records.
	ledgerWriteTimeout = time.Second
	// minLedgerRetry is the delay after a failed write. It doubles up to maxLedgerRetry.
	minLedgerRetry = 100 * time.Millisecond
	maxLedgerRetry = 600 * time.Millisecond
	// maxDeletionDelay spreads the deletion of expired rows by the hosts.
	maxDeletionDelay = time.Minute
	// maxRowKeyBytes is the store's limit of a key.
	maxRowKeyBytes = 200
)

// crashRow is the value of a row of LedgerTable.
type crashRow struct {
	// At is when the crash was detected, on the store clock, in nanoseconds.
	At time.Duration `json:"at_ns"`
	// Host is the id of the host that detected it.
	Host string `json:"host"`
}

// Ledger records the requests that were in flight on replicas that crashed, and which
// of them are refused. All hosts share the records by rows of the store, so that they
// outlive each host. Any whole answer clears a request, since its replica survived it.
// It implements follow.Sink for LedgerTable and is safe for concurrent use.
type Ledger struct {
	host string
	rows platform.RowStore
	term time.Duration
	log  logr.Logger
	// deletionDelay is how long after their expiry this host deletes rows.
	deletionDelay time.Duration
	wake          chan struct{}

	mu sync.Mutex
	// crashes holds the time of each crash, by request and key of its row.
	crashes map[Fingerprint]map[string]time.Duration
	// unsaved holds the writes that the store has not acknowledged, by key of the row.
	unsaved map[string]platform.RowWrite
	// answered and answeredBefore hold the requests answered in the present and in the
	// previous period of answeredFor.
	answered, answeredBefore map[Fingerprint]struct{}
	periodStart              time.Time
	// listed is true once the rows were read.
	listed bool
	// storeClock is the store clock in its last reply, and clockAsked when that was asked for.
	storeClock time.Duration
	clockAsked time.Time
}

// NewLedger returns the ledger of a host. A record expires term after its crash. Follow
// LedgerTable with FollowConfig, and call Run to write this host's records.
func NewLedger(host string, rows platform.RowStore, term time.Duration, log logr.Logger) *Ledger {
	return &Ledger{
		host: host, rows: rows, term: term, log: log, deletionDelay: rand.N(maxDeletionDelay), wake: make(chan struct{}, 1),
		crashes: map[Fingerprint]map[string]time.Duration{}, unsaved: map[string]platform.RowWrite{},
		answered: map[Fingerprint]struct{}{}, periodStart: time.Now(),
	}
}

// FollowConfig returns the configuration for following the rows of all hosts.
func (l *Ledger) FollowConfig(intervalFactor func() float64) follow.Config {
	return follow.Config{Table: LedgerTable, LongPollWait: ledgerPollWait, MinInterval: ledgerPollInterval, IntervalFactor: intervalFactor}
}

// Listed reports whether the rows have been read since the start.
func (l *Ledger) Listed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// Refused reports whether a request must not be sent to a replica, and for how long.
func (l *Ledger) Refused(f Fingerprint) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := l.crashesOf(f)
	if len(crashes) < crashesToRefuse {
		return 0, false
	}
	return crashes[len(crashes)-crashesToRefuse] + l.term - l.now(), true
}

// RefusedCount returns the number of requests that are refused.
func (l *Ledger) RefusedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(lo.Keys(l.crashes), func(f Fingerprint) bool { return len(l.crashesOf(f)) >= crashesToRefuse })
}

// crashesOf returns the times of a request's crashes that have not expired, oldest
// first. The caller holds mu.
func (l *Ledger) crashesOf(f Fingerprint) []time.Duration {
	now := l.now()
	times := lo.Filter(lo.Values(l.crashes[f]), func(at time.Duration, _ int) bool { return now-at <= l.term })
	slices.Sort(times)
	return times
}

// RecordCrash records that a process crashed while a request was in flight on it,
// unless the request was answered lately. id is that of the request in logs.
func (l *Ledger) RecordCrash(id string, f Fingerprint, process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answeredLately(f) {
		l.log.Info("replica crashed beside a sound request", "id", id, "fingerprint", f.key(), "process", process)
		return
	}
	key := rowKey(f, process)
	if _, known := l.crashes[f][key]; known {
		return
	}
	at := l.now()
	value, err := json.Marshal(crashRow{At: at, Host: l.host})
	if err != nil {
		l.log.Error(err, "crash record can't be encoded")
		return
	}
	l.addLocked(f, key, at)
	count := len(l.crashesOf(f))
	l.log.Info("replica crashed under a request", "id", id, "fingerprint", f.key(), "process", process, "crashes", count, "refused", count >= crashesToRefuse)
	l.saveLocked(platform.RowWrite{RowID: ledgerRow(key), Value: value})
}

// RecordAnswer records that a replica answered a request, which rules it out as the
// cause of the crashes known so far.
func (l *Ledger) RecordAnswer(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateAnswered()
	l.answered[f] = struct{}{}
	l.clearLocked(f)
}

// clearLocked deletes all records of a request. The caller holds mu.
func (l *Ledger) clearLocked(f Fingerprint) {
	keys := l.crashes[f]
	if len(keys) == 0 {
		return
	}
	l.log.Info("crash records cleared by an answer", "fingerprint", f.key(), "crashes", len(keys))
	delete(l.crashes, f)
	for key := range keys {
		l.saveLocked(platform.RowWrite{RowID: ledgerRow(key), Delete: true})
	}
}

// answeredLately reports whether a request was answered within answeredFor. The caller holds mu.
func (l *Ledger) answeredLately(f Fingerprint) bool {
	l.rotateAnswered()
	_, now := l.answered[f]
	_, before := l.answeredBefore[f]
	return now || before
}

// rotateAnswered begins a new period of answers when the present one is over or full.
// The caller holds mu.
func (l *Ledger) rotateAnswered() {
	age := time.Since(l.periodStart)
	if age < answeredFor && len(l.answered) < maxAnswered {
		return
	}
	l.answeredBefore = l.answered
	if age >= 2*answeredFor {
		l.answeredBefore = nil
	}
	l.answered, l.periodStart = map[Fingerprint]struct{}{}, time.Now()
}

// addLocked adds a record. The caller holds mu.
func (l *Ledger) addLocked(f Fingerprint, key string, at time.Duration) {
	if l.crashes[f] == nil {
		if len(l.crashes) >= maxTrackedRequests {
			l.evictLocked()
		}
		l.crashes[f] = map[string]time.Duration{}
	}
	l.crashes[f][key] = at
}

// evictLocked forgets the request with the fewest crashes, and of these the one whose
// last crash is oldest. Its rows stay until they expire. The caller holds mu.
func (l *Ledger) evictLocked() {
	var victim Fingerprint
	var fewest int
	var oldest time.Duration
	for f := range l.crashes {
		crashes := l.crashesOf(f)
		last := lo.LastOr(crashes, 0)
		if victim == 0 || len(crashes) < fewest || len(crashes) == fewest && last < oldest {
			victim, fewest, oldest = f, len(crashes), last
		}
	}
	l.log.Info("crash records of a request dropped: too many requests are tracked", "fingerprint", victim.key(), "crashes", fewest, "limit", maxTrackedRequests)
	delete(l.crashes, victim)
}

// removeLocked removes a record. The caller holds mu.
func (l *Ledger) removeLocked(f Fingerprint, key string) {
	delete(l.crashes[f], key)
	if len(l.crashes[f]) == 0 {
		delete(l.crashes, f)
	}
}

// saveLocked queues a write for Run. The caller holds mu.
func (l *Ledger) saveLocked(w platform.RowWrite) {
	l.unsaved[w.Key] = w
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// now returns the present time on the store clock. The caller holds mu.
func (l *Ledger) now() time.Duration {
	if l.clockAsked.IsZero() {
		return 0
	}
	return l.storeClock + time.Since(l.clockAsked)
}

// Changed implements follow.Sink.
func (l *Ledger) Changed(row platform.VersionedRow) {
	f, ok := parseRowKey(row.Key)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Deleted {
		l.removeLocked(f, row.Key)
		return
	}
	var record crashRow
	if err := json.Unmarshal(row.Value, &record); err != nil {
		l.log.Info("invalid crash record ignored", "key", row.Key, "row_version", row.Version, "error", err.Error())
		return
	}
	_, known := l.crashes[f][row.Key]
	l.addLocked(f, row.Key, record.At)
	if l.answeredLately(f) {
		l.clearLocked(f)
		return
	}
	if count := len(l.crashesOf(f)); !known && count == crashesToRefuse {
		l.log.Info("request is refused from now on", "fingerprint", f.key(), "crashes", count, "told_by", record.Host)
	}
}

// Synced implements follow.Sink. It deletes the rows that expired a while ago.
func (l *Ledger) Synced(now time.Duration, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed, l.storeClock, l.clockAsked = true, now, asked
	for f, keys := range l.crashes {
		for key, at := range keys {
			if now-at > l.term+l.deletionDelay {
				l.removeLocked(f, key)
				l.saveLocked(platform.RowWrite{RowID: ledgerRow(key), Delete: true})
			}
		}
	}
}

// Run writes this host's records until ctx ends. It returns nil.
func (l *Ledger) Run(ctx context.Context) error {
	failures := 0
	for {
		if failures == 0 {
			select {
			case <-l.wake:
			case <-ctx.Done():
				return nil
			}
		} else if !pause.For(ctx, pause.Backoff(minLedgerRetry, maxLedgerRetry, failures)) {
			return nil
		}
		err := l.write(ctx)
		switch {
		case err == nil && failures > 0:
			l.log.Info("crash records saved again", "failures", failures)
			failures = 0
		case err != nil:
			if failures == 0 && ctx.Err() == nil {
				l.log.Info("crash records not saved, trying again", "error", err.Error())
			}
			failures++
		}
	}
}

// write writes the unsaved records. Writes are idempotent, so one in doubt is repeated.
func (l *Ledger) write(ctx context.Context) error {
	for {
		l.mu.Lock()
		var batch []platform.RowWrite
		for _, w := range l.unsaved {
			if batch = append(batch, w); len(batch) == platform.MaxTransactionRows {
				break
			}
		}
		l.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, ledgerWriteTimeout)
		_, err := l.rows.Commit(callCtx, platform.RowTransaction{Writes: batch})
		cancel()
		if err != nil {
			return err
		}
		l.mu.Lock()
		for _, w := range batch {
			if l.unsaved[w.Key].Delete == w.Delete {
				delete(l.unsaved, w.Key)
			}
		}
		l.mu.Unlock()
	}
}

func ledgerRow(key string) platform.RowID { return platform.RowID{Table: LedgerTable, Key: key} }

// rowKey returns the key of the row of a request and a process.
func rowKey(f Fingerprint, process string) string {
	key := f.key() + "/" + process
	if len(key) > maxRowKeyBytes {
		key = fmt.Sprintf("%s/%016x", f.key(), xxhash.Sum64String(process))
	}
	return key
}

// parseRowKey returns the request of a row's key.
func parseRowKey(key string) (Fingerprint, bool) {
	text, _, found := strings.Cut(key, "/")
	f, ok := parseKey(text)
	return f, found && ok
}

// refusal returns the error of a request that is refused.
func refusal(left time.Duration) error {
	return failure.New(failure.Quarantined, failure.NotRun, "replicas crashed when they ran this request").WithRetryAfter(left)
}
