package upstream

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/rawanswer"
)

// exchangeTimeout is the timeout of an exchange. A malformed answer is recognized by its
// bytes, long before.
const exchangeTimeout = 10 * time.Second

// reader is a way in which a client reads an answer.
type reader struct {
	// header and body are those of an answer that it accepts.
	header, body string
	// read makes an exchange and returns the body of the answer, or what is made of it.
	read func(ctx context.Context, target membership.Upstream) (string, error)
	// want is what read returns for that answer.
	want string
}

// readers returns all ways in which a client reads an answer, by their names.
func readers(t *testing.T) map[string]reader {
	client := NewClient(DialTCP, settings.DefaultTiming(), &marks{}).WithOptions(Options{RequestID: "X-Request-Id", AllowCloseDelimited: true})
	t.Cleanup(client.pool.closeIdle)
	const id = "X-Request-Id: {X-Request-Id}\r\n"
	events := `data: {"id":"a","offset":0,"tokens":1,"choices":[{"delta":{"content":"ok"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	return map[string]reader{
		"Do": {header: id, body: "ok", want: "ok", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			req, resp := post()
			err := client.Do(ctx, target, req, resp)
			return string(resp.Body()), err
		}},
		"Do on an account": {header: id, body: "ok", want: "ok", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			a, _ := account(1 << 20)
			defer a.Close()
			req, resp := post()
			err := client.Do(intake.WithAccount(ctx, a), target, req, resp)
			return string(resp.Body()), err
		}},
		"Stream": {header: id, body: "ok", want: "ok", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			req, resp := post()
			var streamed []byte
			err := client.Stream(ctx, target, req, resp, func(_ *fasthttp.ResponseHeader, r io.Reader) (err error) {
				streamed, err = io.ReadAll(r)
				return err
			})
			return string(streamed) + string(resp.Body()), err
		}},
		"Generate": {header: id + "Content-Type: text/event-stream\r\n", body: events, want: "ok", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			result, err := client.Generate(ctx, target, engineapi.ChatRequest{RequestID: "a"}, nil)
			return result.Text, err
		}},
		"Load": {header: id, body: `{"running":7}`, want: "", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			_, err := client.Load(ctx, target)
			return "", err
		}},
		"Order": {header: id, body: "{}", want: "", read: func(ctx context.Context, target membership.Upstream) (string, error) {
			return "", client.Order(ctx, target, engineapi.Order{})
		}},
	}
}

// An answer that is not a valid HTTP response is no answer: its request may have run, its
// connection is not used again, and its bytes are not in the error.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, r := range readers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := rawanswer.Each(rawanswer.Malformed(r.header, r.body), func(name string, server *rawanswer.Server) {
				ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
				defer cancel()
				for range 2 {
					got, err := r.read(ctx, membership.Upstream{ID: target.ID, Address: server.Address()})
					switch e := failure.As(err); {
					case err == nil:
						t.Errorf("%s: taken as an answer, with the body %q", name, got)
					case e.Kind != failure.IncompleteAnswer || e.Outcome != failure.Unknown:
						t.Errorf("%s: got %s/%s (%v), want an incomplete answer with an unknown outcome", name, e.Kind, e.Outcome, err)
					case strings.Contains(err.Error(), rawanswer.Marker):
						t.Errorf("%s: the error has bytes of the answer: %q", name, err)
					case !errors.As(err, new(httpsyntax.Error)) && !errors.Is(err, errOffset):
						// The second answer to a completion that is resumed begins anew.
						t.Errorf("%s: the error does not say what is wrong: %v", name, err)
					}
				}
				if server.Reused() {
					t.Errorf("%s: the connection was used again", name)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// A valid response that is seldom seen is an answer like any other.
func TestUnusualAnswerIsAnAnswer(t *testing.T) {
	for name, r := range readers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := rawanswer.Each(rawanswer.Unusual(r.header, r.body), func(name string, server *rawanswer.Server) {
				ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
				defer cancel()
				got, err := r.read(ctx, membership.Upstream{ID: target.ID, Address: server.Address()})
				if err != nil || got != r.want {
					t.Errorf("%s: got %q, %v, want %q", name, got, err, r.want)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// The error of an answer that breaks off, is too long or has a trailer that is not allowed has
// none of its bytes.
func TestErrorDoesNotQuoteTheAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	trailer := "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	answers := map[string]string{
		"cut header":  ok + "X-A: " + rawanswer.Marker,
		"cut trailer": ok + trailer + "X-A: " + rawanswer.Marker,
		"long header": ok + strings.Repeat("X-A: "+rawanswer.Marker+"\r\n", 2*readBufferSize/len("X-A: Zqx\r\n")) + "\r\n",
		"trailer":     ok + trailer + "Location: " + rawanswer.Marker + "\r\n\r\n",
	}
	for name, r := range readers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := rawanswer.Each(answers, func(name string, server *rawanswer.Server) {
				_, err := r.read(t.Context(), membership.Upstream{ID: target.ID, Address: server.Address()})
				if e := failure.As(err); err == nil || e.Outcome != failure.Unknown || strings.Contains(err.Error(), rawanswer.Marker) {
					t.Errorf("%s: got %v, want an error with an unknown outcome and no bytes of the answer", name, err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
