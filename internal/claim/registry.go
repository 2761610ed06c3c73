package claim

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/ring"
)

// maxDispatchDelay is the longest time from Begin to the dispatch of the
// request. A host that was paused for longer abandons the claim instead.
const maxDispatchDelay = 10 * time.Second

// Registry holds the claims of this process and makes each request with an
// idempotency key run at most once across all hosts.
type Registry struct {
	exchange  peer.Exchange
	table     platform.Table
	log       logr.Logger
	retention time.Duration
	started   time.Time
	records   *recordStore
	// unwritten queues the finished claims whose results have yet to be written to the table,
	// and the abandoned claims whose rows have yet to be released.
	unwritten *ring.Ring[*record]
}

// New returns a Registry and registers its handler with the exchange. A
// caller-made key that contains a timestamp is valid for retention.
func New(exchange peer.Exchange, table platform.Table, log logr.Logger, retention time.Duration) *Registry {
	reg := &Registry{
		exchange:  exchange,
		table:     table,
		log:       log,
		retention: retention,
		started:   time.Now(),
		records:   newRecordStore(),
		unwritten: ring.New[*record](maxRecords),
	}
	exchange.Handle(methodOutcome, reg.handleOutcome)
	return reg
}

// Request identifies a request with an idempotency key. A key is unique within its tenant.
type Request struct {
	Tenant      string
	Key         Key
	Fingerprint Fingerprint
}

// id returns the tenant and the key, which identify a claim.
func (req Request) id() string { return req.Tenant + "/" + req.Key.Text }

// Claim is the permission to dispatch a request once. The caller must call
// Finish exactly once.
type Claim struct {
	registry   *Registry
	record     *record
	key        Key
	dispatchBy time.Time
}

// DispatchBy returns the time, with a monotonic clock reading, after which the
// request must not be dispatched.
func (c *Claim) DispatchBy() time.Time { return c.dispatchBy }

// Finish records the result of the dispatch: err, or the complete answer in resp
// if err is nil.
func (c *Claim) Finish(err error, resp *fasthttp.Response) {
	c.registry.finish(c.record, c.key, resultOf(err, resp))
}

// IsHome reports whether this process is the home of a home-bound key.
func (reg *Registry) IsHome(k Key) bool { return k.Home == reg.exchange.Self().Incarnation }

// Home returns the host that is the home of a key, and false if its process no
// longer runs.
func (reg *Registry) Home(k Key) (peer.Host, bool) { return findHost(reg.exchange, k.Home) }

// Lookup returns the result of a key if this process has one. unused is true if
// the key is known never to have been used: it is bound to this process, still
// valid, and not in memory. The error is KeyReused as in Begin.
func (reg *Registry) Lookup(req Request) (res *Result, unused bool, err error) {
	r, err := reg.records.find(req.id(), req.Fingerprint)
	if err != nil {
		return nil, false, err
	}
	if r == nil {
		fresh := req.Key.checkAge(reg.now(), HomeRetention) == nil
		return nil, reg.IsHome(req.Key) && fresh, nil
	}
	if !r.finished() {
		return nil, false, nil
	}
	return &r.result, false, nil
}

// Begin claims the key of a request. It returns either a claim, under which the
// caller may dispatch the request, or the result of an earlier request with the
// same key; it waits for an earlier request that is in progress on this host.
//
// The outcome of an error covers all requests with the key so far, not just
// this one. Errors are InvalidRequest, KeyReused, KeyExpired, QueueFull,
// DeadlineExceeded, Conflict, StoreUnavailable, StoreInDoubt and Internal.
func (reg *Registry) Begin(ctx context.Context, req Request) (*Claim, *Result, error) {
	began := time.Now()
	if err := reg.checkKey(req.Key, reg.now()); err != nil {
		return nil, nil, err
	}
	r, created, err := reg.records.findOrCreate(req.id(), rowKey(req), req.Fingerprint, req.Key.Home != "")
	if err != nil {
		return nil, nil, reg.createError(req, err)
	}
	if !created {
		res, err := r.wait(ctx)
		if err != nil {
			return nil, nil, err
		}
		return nil, &res, nil
	}
	if !r.home {
		res, err := reg.acquire(ctx, r)
		if err != nil {
			reg.abandon(r, Result{Failure: failure.As(err)})
			return nil, nil, err
		}
		if res != nil {
			reg.adoptResult(r, *res)
			return nil, res, nil
		}
	}
	return &Claim{registry: reg, record: r, key: req.Key, dispatchBy: began.Add(maxDispatchDelay)}, nil, nil
}

// checkKey refuses a key that is too old, and a home-bound key that was issued more
// than maxClockSkew in the future.
func (reg *Registry) checkKey(k Key, now time.Time) error {
	if k.Home == "" {
		return k.checkAge(now, reg.retention)
	}
	if err := k.checkNotInFuture(now); err != nil {
		return err
	}
	return k.checkAge(now, HomeRetention)
}

// createError sets the outcome of a caller-made key that got no record to
// unknown, because a request with the key may have run on another host.
func (reg *Registry) createError(req Request, err error) error {
	e := failure.As(err)
	if e.Kind == failure.KeyReused || req.Key.Home != "" {
		return e
	}
	e.Outcome = failure.Unknown
	return e
}

// finish records the result of a claim.
func (reg *Registry) finish(r *record, k Key, res Result) {
	if res.notRun() {
		reg.abandon(r, res)
		return
	}
	final := finalState{result: res}
	if r.home {
		final.expiresAt = k.Issued.Add(HomeRetention + maxClockSkew)
	}
	reg.records.finish(r, final)
	if !r.home {
		reg.unwritten.TryPush(r)
	}
}

// abandon finishes a claim under which the request did not run and never will. The key
// can be claimed again.
func (reg *Registry) abandon(r *record, res Result) {
	reg.records.finish(r, finalState{result: res, abandoned: true, reusable: true, expiresAt: reg.now().Add(abandonedClaimRetention)})
	if r.mayBeInTable {
		reg.unwritten.TryPush(r)
	}
}

// adoptResult finishes a record whose key another claim holds. A final result is
// kept for writtenKeyRetention to answer repeats on this host. After an unknown
// outcome, the next request with the key asks the holder again.
func (reg *Registry) adoptResult(r *record, res Result) {
	open := res.Failure != nil && res.Failure.Outcome == failure.Unknown
	reg.records.finish(r, finalState{result: res, abandoned: true, reusable: open, expiresAt: reg.now().Add(writtenKeyRetention)})
}

// now returns the wall clock at this process's start plus the monotonic time
// since. A step of the wall clock thus cannot make an expired key valid again.
func (reg *Registry) now() time.Time { return reg.started.Round(0).Add(time.Since(reg.started)) }
