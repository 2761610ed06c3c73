// Package entryclient asks a deployment which hosts to send requests to, as a
// caller does, and caches the answer for its time to live.
package entryclient

import (
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
)

const (
	// minRefreshInterval is the minimum time between two attempts to get an answer.
	minRefreshInterval = 200 * time.Millisecond
	// maxStaleTime is how long an expired answer is used while a new one is fetched. It is safe because a
	// draining host accepts requests for drain.AcceptMargin after the last answer that names it has expired.
	maxStaleTime = 500 * time.Millisecond
)

// Client caches one entry answer. It is safe for concurrent use.
type Client struct {
	http  *jsonhttp.Client
	path  string
	seeds []entryapi.EntryHost

	mu sync.Mutex
	// hosts are those of the last answer; nil before the first.
	hosts []entryapi.EntryHost
	// expires is when the hosts expire, or when to retry after a failure.
	expires time.Time
	// refreshing is true while an answer is fetched.
	refreshing bool
}

// New returns a client. failureDomain is that of the caller and may be empty. seeds are the ip:port addresses of
// hosts that are asked first.
func New(http *jsonhttp.Client, failureDomain string, seeds []string) *Client {
	c := &Client{http: http, path: entryapi.PathEntry}
	if failureDomain != "" {
		c.path += "?failure_domain=" + url.QueryEscape(failureDomain)
	}
	for _, address := range seeds {
		c.seeds = append(c.seeds, entryapi.EntryHost{Address: address})
	}
	return c
}

// Hosts returns the hosts of the current answer, best first. The first call, and
// one more than 500 ms after the answer has expired, wait for a new answer. Other
// calls return the old answer while a new one is fetched. If no host answers, the
// old answer is used or, if there is none, the seeds, which have no key prefix.
func (c *Client) Hosts() []entryapi.EntryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) || c.refreshing {
		return c.current()
	}
	c.refreshing = true
	known := c.current()
	if c.hosts != nil && time.Since(c.expires) < maxStaleTime {
		go c.refresh(known)
		return known
	}
	c.mu.Unlock()
	c.refresh(known)
	c.mu.Lock()
	return c.current()
}

func (c *Client) current() []entryapi.EntryHost {
	if len(c.hosts) == 0 {
		return c.seeds
	}
	return c.hosts
}

// refresh asks the known hosts, then the seeds, until one answers.
func (c *Client) refresh(known []entryapi.EntryHost) {
	answer, ok := c.ask(known)
	if !ok {
		answer, ok = c.ask(c.seeds)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	if !ok {
		c.expires = time.Now().Add(minRefreshInterval)
		return
	}
	c.hosts = answer.Hosts
	c.expires = time.Now().Add(max(minRefreshInterval, time.Duration(answer.TTLMillis)*time.Millisecond))
}

func (c *Client) ask(hosts []entryapi.EntryHost) (entryapi.EntryAnswer, bool) {
	for _, host := range hosts {
		var answer entryapi.EntryAnswer
		_, err := c.http.Do(fasthttp.MethodGet, "http://"+host.Address+c.path, nil, &answer)
		if err == nil && len(answer.Hosts) > 0 {
			return answer, true
		}
	}
	return entryapi.EntryAnswer{}, false
}
