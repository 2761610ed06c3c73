package demo

import (
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryclient"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	callTimeout        = 30 * time.Second
	specificationCount = 60
	bookingCount       = 30
	completionCount    = 12
	completionTokens   = 40
	resendInterval     = 3
)

// booking is the body of a booking request.
type booking struct {
	House string `json:"house"`
	Day   int    `json:"day"`
}

// customers sends requests to the hosts as a tenant's app does.
type customers struct {
	entry  *entryclient.Client
	secret string
	report *Report
}

func newCustomers(hosts []string, secret string, report *Report) *customers {
	return &customers{
		entry:  entryclient.New(jsonhttp.NewClient(callTimeout, nil), "", hosts),
		secret: secret,
		report: report,
	}
}

// client returns a client that sends the tenant's token and, unless empty, an
// idempotency key.
func (c *customers) client(key string) *jsonhttp.Client {
	client := jsonhttp.NewClient(callTimeout, nil).WithHeader(fasthttp.HeaderAuthorization, "Bearer "+c.secret)
	if key != "" {
		client.WithHeader(entryapi.HeaderIdempotencyKey, key)
	}
	return client
}

// call retries a call while it is refused with outcome not-run, which is safe for
// any request, until callTimeout has passed.
func call(client *jsonhttp.Client, method, url string, in, out any) error {
	deadline := time.Now().Add(callTimeout)
	for {
		_, err := client.Do(method, url, in, out)
		if err == nil || failure.As(err).Outcome != failure.NotRun || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// host returns host i of the entry answer, round-robin.
func (c *customers) host(i int) entryapi.EntryHost {
	hosts := c.entry.Hosts()
	return hosts[i%len(hosts)]
}

func (c *customers) url(i int, path string) string { return "http://" + c.host(i).Address + path }

// readSpecifications reads pages of a plain service through all hosts.
func (c *customers) readSpecifications() {
	client := c.client("")
	for i := range specificationCount {
		path := fmt.Sprintf("/specifications/cowl-%d", i)
		var echo standinapi.Echo
		err := call(client, http.MethodGet, c.url(i, path), nil, &echo)
		switch {
		case err != nil:
			c.report.addViolation("specification %d failed: %v", i, err)
		case echo.Path != path:
			c.report.addViolation("specification %d got the answer for %s", i, echo.Path)
		default:
			c.report.Answers++
		}
	}
}

// makeBookings makes bookings with caller-made and home-bound idempotency keys. It
// sends every third booking again through another host and compares the answers.
func (c *customers) makeBookings() {
	for i := range bookingCount {
		key := uuid.NewString()
		if i%2 == 0 {
			key = c.host(i).KeyPrefix + uuid.NewString()
		}
		client := c.client(key)
		order := booking{House: fmt.Sprintf("house %d", i), Day: i}
		var first, again standinapi.Echo
		if err := call(client, http.MethodPost, c.url(i, "/bookings"), order, &first); err != nil {
			c.report.addViolation("booking %d failed: %v", i, err)
			continue
		}
		c.report.Bookings = append(c.report.Bookings, key)
		if i%resendInterval != 0 {
			continue
		}
		if err := call(client, http.MethodPost, c.url(i+1, "/bookings"), order, &again); err != nil {
			c.report.addViolation("resent booking %d failed: %v", i, err)
		} else if again != first {
			c.report.addViolation("resent booking %d got a different answer", i)
		}
		c.report.Resent++
	}
}

// requestCompletions requests completions from the model and checks their text.
func (c *customers) requestCompletions() {
	client := c.client("")
	for i := range completionCount {
		messages := []engineapi.Message{{Role: "user", Content: fmt.Sprintf("Which cowl suits flue %d on a windy ridge?", i)}}
		req := engineapi.ChatRequest{Model: model, Messages: messages, MaxTokens: completionTokens, Seed: int64(i)}
		var resp engineapi.ChatResponse
		err := call(client, http.MethodPost, c.url(i, engineapi.PathChat), req, &resp)
		if err != nil || len(resp.Choices) != 1 {
			c.report.addViolation("completion %d failed: %v", i, err)
			continue
		}
		want := engine.ExpectedText(messages, int64(i), 0, resp.Usage.CompletionTokens)
		if resp.Choices[0].Message.Content != want {
			c.report.addViolation("completion %d has the text of another request", i)
			continue
		}
		c.report.Completions++
	}
}
