package forward

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// hopHeaders are the headers that are not forwarded: hop-by-hop headers and
// those meant for this host.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Authorization", entryapi.HeaderDeadline, entryapi.HeaderIdempotent,
}

// exchange sends the caller's request to a plain service and fills r.Answer.
func (f *Forward) exchange(ctx context.Context, r *filter.Request) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.Inbound.CopyTo(req)
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(engineapi.HeaderRequestID, r.ID)
	req.SetHost(r.Upstream.Address)
	r.Answer.Reset()
	r.Answer.Header.SetNoDefaultContentType(true)
	if err := f.services.Do(ctx, r.Upstream, req, r.Answer); err != nil {
		return err
	}
	r.FirstByte = time.Now()
	r.Answer.Header.Del("Connection")
	r.Answer.Header.Del(engineapi.HeaderUpstreamState)
	return nil
}
