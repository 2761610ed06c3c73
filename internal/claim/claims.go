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

// dispatchBound is the longest time from the start of a claim to its dispatch. A
// host that was paused for longer gives the claim up instead.
const dispatchBound = 10 * time.Second

// Registry makes keyed requests run at most once.
type Registry struct {
	exchange  peer.Exchange
	table     platform.Table
	log       logr.Logger
	retention time.Duration
	started   time.Time
	book      *book
	// ended joins the request path with the duty that writes verdicts to the table.
	ended *ring.Ring[*record]
}

// New returns Claims that recognise dated caller-made keys for retention.
func New(exchange peer.Exchange, table platform.Table, log logr.Logger, retention time.Duration) *Registry {
	c := &Registry{
		exchange:  exchange,
		table:     table,
		log:       log,
		retention: retention,
		started:   time.Now(),
		book:      newBook(),
		ended:     ring.New[*record](maxRecords),
	}
	exchange.Handle(methodOutcome, c.answerOutcome)
	return c
}

// Request is one request's use of a key.
type Request struct {
	Tenant      string
	Key         Key
	Fingerprint Fingerprint
}

func (u Request) id() string { return u.Tenant + "/" + u.Key.Text }

// Ticket is the right to dispatch a request once. Finish must be called exactly once.
type Ticket struct {
	claims *Registry
	record *record
	key    Key
	by     time.Time
}

// DispatchBy is the time on the monotonic clock after which the request must not be dispatched.
func (t *Ticket) DispatchBy() time.Time { return t.by }

// Finish records how the dispatch ended: with the whole answer in resp, or with err.
func (t *Ticket) Finish(err error, resp *fasthttp.Response) {
	t.claims.finish(t.record, t.key, verdictOf(err, resp))
}

// IsHome reports whether this process is the home of a key.
func (c *Registry) IsHome(k Key) bool { return k.Home == c.exchange.Self().Incarnation }

// Home returns the host that is the home of a key, and false if it has gone.
func (c *Registry) Home(k Key) (peer.Host, bool) { return findHost(c.exchange, k.Home) }

// Lookup returns this host's verdict on a key if it has one, and whether the
// key is surely unused: home-bound to this process and not in its memory.
func (c *Registry) Lookup(u Request) (v *Verdict, unused bool, err error) {
	r, err := c.book.find(u.id(), u.Fingerprint)
	if err != nil {
		return nil, false, err
	}
	if r == nil {
		fresh := u.Key.checkAge(c.now(), HomeRetention) == nil
		return nil, c.IsHome(u.Key) && fresh, nil
	}
	if !r.finished() {
		return nil, false, nil
	}
	return &r.verdict, false, nil
}

// Begin claims a key. It returns either a ticket, with which the caller must
// dispatch the request, or the verdict on an earlier use. The outcome of an
// error is true of every use of the key so far.
func (c *Registry) Begin(ctx context.Context, u Request) (*Ticket, *Verdict, error) {
	began := time.Now()
	if err := c.check(u.Key, c.now()); err != nil {
		return nil, nil, err
	}
	r, made, err := c.book.join(u.id(), rowKey(u), u.Fingerprint, u.Key.Home != "")
	if err != nil {
		return nil, nil, c.refusedJoin(u, err)
	}
	if !made {
		v, err := r.wait(ctx)
		if err != nil {
			return nil, nil, err
		}
		return nil, &v, nil
	}
	if !r.home {
		v, err := c.acquire(ctx, r)
		if err != nil {
			c.giveUp(r, Verdict{Failure: failure.As(err)})
			return nil, nil, err
		}
		if v != nil {
			c.adopt(r, *v)
			return nil, v, nil
		}
	}
	return &Ticket{claims: c, record: r, key: u.Key, by: began.Add(dispatchBound)}, nil, nil
}

func (c *Registry) check(k Key, now time.Time) error {
	if k.Home == "" {
		return k.checkAge(now, c.retention)
	}
	if err := k.checkClock(now); err != nil {
		return err
	}
	return k.checkAge(now, HomeRetention)
}

// refusedJoin corrects the outcome for a caller-made key, which may have run elsewhere.
func (c *Registry) refusedJoin(u Request, err error) error {
	e := failure.As(err)
	if e.Kind == failure.KeyReused || u.Key.Home != "" {
		return e
	}
	e.Outcome = failure.Unknown
	return e
}

// finish ends a ticket.
func (c *Registry) finish(r *record, k Key, v Verdict) {
	if v.notRun() {
		c.giveUp(r, v)
		return
	}
	end := ending{verdict: v}
	if r.home {
		end.forgetAt = k.Issued.Add(HomeRetention + maxClockSkew)
	}
	c.book.finish(r, end)
	if !r.home {
		c.ended.TryPush(r)
	}
}

// giveUp ends a claim under which nothing was dispatched.
func (c *Registry) giveUp(r *record, v Verdict) {
	c.book.finish(r, ending{verdict: v, abandoned: true, freed: true, forgetAt: c.now().Add(abandonedRetention)})
	if r.inserted {
		c.ended.TryPush(r)
	}
}

// adopt ends a record whose key another claim holds. A final verdict is kept
// briefly for repeats at this host.
func (c *Registry) adopt(r *record, v Verdict) {
	open := v.Failure != nil && v.Failure.Outcome == failure.Unknown
	c.book.finish(r, ending{verdict: v, abandoned: true, freed: open, forgetAt: c.now().Add(writtenRetention)})
}

// now returns the wall clock of this process's start plus the monotonic time
// since, so that a step of the wall clock cannot make an expired key young again.
func (c *Registry) now() time.Time { return c.started.Round(0).Add(time.Since(c.started)) }
