package callerapi

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// answerFromBytes returns upstreams that answer with a raw HTTP/1.1 response.
func answerFromBytes(raw string) *fakeUpstreams {
	return &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
		resp.SkipBody = req.Header.IsHead()
		r := bufio.NewReader(strings.NewReader(raw))
		if err := resp.Header.Read(r); err != nil || resp.SkipBody || !strings.Contains(raw, "Length") {
			return err
		}
		return resp.ReadBody(r, 0)
	}}
}

func TestRequestReachesTheUpstreamUnchanged(t *testing.T) {
	const form = "--b\r\nContent-Disposition: form-data; name=\"z\"\r\nX-Part: 1\r\n\r\n2\r\n--b\r\n" +
		"Content-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\n"
	tests := []struct{ name, target, body, contentType string }{
		{"escaped slash", "/specs/a%2Fb", "", ""},
		{"double slash", "/specs//a", "", ""},
		{"odd query", "/specs/a?x=%2f&&y=+&x", "", ""},
		{"form", "/bookings", form, "multipart/form-data; boundary=b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []string
				f := start(t, &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, req *fasthttp.Request, _ *fasthttp.Response) error {
					var raw bytes.Buffer
					w := bufio.NewWriter(&raw)
					if err := req.Write(w); err != nil {
						return err
					}
					_ = w.Flush()
					line, _, _ := strings.Cut(raw.String(), "\r\n")
					_, body, _ := strings.Cut(raw.String(), "\r\n\r\n")
					got = []string{strings.Fields(line)[1], body}
					return nil
				}})
				f.send(t, "POST", test.target, test.body, "Content-Type", test.contentType)
				if diff := cmp.Diff([]string{test.target, test.body}, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestAnswerReachesTheCallerUnchanged(t *testing.T) {
	tests := []struct {
		name, method, raw string
		status            int
		header            http.Header
		length            int64
		body              string
	}{
		{"no content type", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, http.Header{}, 2, "ok"},
		{"two cookies", "GET", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nSet-Cookie: a=1; Path=/\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n", 200,
			http.Header{"Content-Type": {"a/b"}, "Set-Cookie": {"a=1; Path=/", "b=2"}}, 0, ""},
		{"compressed", "GET", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Encoding: br\r\nContent-Length: 2\r\n\r\nzz", 200,
			http.Header{"Content-Type": {"a/b"}, "Content-Encoding": {"br"}}, 2, "zz"},
		{"headers of the connection and of a host", "GET", "HTTP/1.1 200 OK\r\nSapphirehatch-Outcome: not-run\r\nSapphirehatch-Host: x\r\nKeep-Alive: 5\r\nTrailer: X-Sum\r\nContent-Length: 2\r\n\r\nok", 200,
			http.Header{}, 2, "ok"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 1234\r\n\r\n", 200, http.Header{"Content-Type": {"a/b"}}, 1234, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\nEtag: x\r\n\r\n", 204, http.Header{"Etag": {"x"}}, 0, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", 304, http.Header{"Etag": {"x"}}, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := start(t, answerFromBytes(test.raw))
				req, _ := http.NewRequestWithContext(t.Context(), test.method, "http://host/specs/1", http.NoBody)
				req.Header.Set("Authorization", "Bearer secret")
				req.Header.Set("Accept-Encoding", "br")
				resp, err := f.client.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Header.Values("Sapphirehatch-Host"); len(got) != 1 || got[0] != "h1" {
					t.Errorf("answered by %q", got)
				}
				for _, own := range []string{"Date", "Server", "X-Request-Id", "Sapphirehatch-Host", "Content-Length"} {
					resp.Header.Del(own)
				}
				type seen struct {
					Status int
					Header http.Header
					Length int64
					Body   string
				}
				if diff := cmp.Diff(seen{test.status, test.header, test.length, test.body}, seen{resp.StatusCode, resp.Header, resp.ContentLength, string(body)}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestStopWaitsForACallerThatReadsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		size := 1 << 20
		f := start(t, &fakeUpstreams{do: func(_ context.Context, _ membership.Upstream, _ *fasthttp.Request, resp *fasthttp.Response) error {
			resp.SetBody(make([]byte, size))
			return nil
		}})
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host/specs/1", http.NoBody)
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := f.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		f.stop()
		time.Sleep(20 * time.Second)
		select {
		case <-f.stopped:
			t.Error("the server stopped before the caller had its answer")
		default:
		}
		if body, err := io.ReadAll(resp.Body); err != nil || len(body) != size {
			t.Error(len(body), err)
		}
		<-f.stopped
	})
}
