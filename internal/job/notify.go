package job

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// PathAccepted is the path at which a host takes an Acceptance, in msgpack.
const PathAccepted = "/jobs/accepted"

// notifyTimeout bounds the call to the owner of an accepted job. After that the change
// feed is as fast.
const notifyTimeout = 300 * time.Millisecond

// maxNotifyReplyBytes is the size of the largest body of the owner's reply, which has none.
const maxNotifyReplyBytes = 64 << 10

// maxNotifyBytes is the size of the largest job that is sent to its owner. The owner reads a
// larger one from the store, in parts: encoding it would need as much memory again on both
// hosts.
const maxNotifyBytes = 4 << 20

// Acceptance tells a host that it owns a job that another host has accepted, so that
// it need not wait for the change feed, whose interval grows with the number of hosts,
// and need not read the job from the store. It only speeds things up: the owner row
// decides who owns the job.
type Acceptance struct {
	ID string
	// Owner and Version are the owner row as it was committed.
	Owner   OwnerRow
	Version uint64
	Spec    *Spec
}

// NotifyOwner sends an Acceptance to the host at an ip:port address.
func NotifyOwner(address string, a Acceptance) error {
	body, err := msgpack.Marshal(a)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "acceptance of job %s can't be encoded", a.ID)
	}
	client := platform.NewHTTPClient(platform.HTTPClientConfig{
		Address:        address,
		Dial:           func(address string) (net.Conn, error) { return platform.Dial(address, notifyTimeout) },
		MaxConnections: 1,
		IdleTimeout:    time.Second,
		MaxAnswerBytes: maxNotifyReplyBytes,
	})
	status, _, err := client.Attempt(fasthttp.MethodPost, PathAccepted, "application/msgpack", body, time.Now().Add(notifyTimeout))
	switch {
	case err != nil:
		return failure.Wrap(err, failure.UpstreamUnreachable, "", "owner of job %s can't be told", a.ID)
	case status != fasthttp.StatusOK:
		return failure.New(failure.UpstreamFailed, "", "owner of job %s answered %d", a.ID, status)
	}
	return nil
}

// ServeAccepted handles an Acceptance of another host.
func (m *Manager) ServeAccepted(ctx *fasthttp.RequestCtx) {
	var a Acceptance
	if err := msgpack.Unmarshal(ctx.PostBody(), &a); err != nil || a.Spec == nil || a.Spec.ID != a.ID || a.Version == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	m.Accepted(a)
}

// Accepted records the owner row of a job that another host accepted, and starts the
// job if the row is the newest known one and names this process.
func (m *Manager) Accepted(a Acceptance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acceptedLocked(a)
}

// acceptedLocked is Accepted; the caller holds mu.
func (m *Manager) acceptedLocked(a Acceptance) {
	m.observeOwner(a.ID, a.Owner, a.Version)
	m.start(a.ID, a.Spec, a.Version)
}

// tellOwner notifies the owner of a job that this host accepted.
func (m *Manager) tellOwner(a Acceptance) {
	if err := m.notifyOwner(a.Owner.Host, a); err != nil {
		m.log.Info("owner of the job not told, it will learn from the feed", "job", a.ID, "owner", a.Owner.Host, "error", err.Error())
	}
}
