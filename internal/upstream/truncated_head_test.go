package upstream

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// An upstream that stops in the middle of the head of its answer and closes has given no
// answer, also where a body without a length is allowed.
func TestTruncatedHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"no length":      "HTTP/1.1 200 OK\r\nX-Stamp: abcdef\r\nX-Request-Id: a\r\n\r\n",
		"length":         "HTTP/1.1 200 OK\r\nX-Stamp: abcdef\r\nContent-Length: 0\r\n\r\n",
		"interim answer": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: abcdef\r\n\r\n",
		"bare newlines":  "HTTP/1.1 200 OK\nX-Stamp: abcdef\nContent-Length: 0\n\n",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				synctest.Test(t, func(t *testing.T) {
					w := &fakeUpstream{serve: answer(head[:length], true)}
					client := newLenientClient(w)
					defer time.Sleep(time.Second) // the upstream notices that the connection is closed
					defer client.pool.closeIdle()
					req, resp := post()
					if err := client.Do(t.Context(), target, req, resp); err == nil {
						t.Errorf("%q is an answer with status %d", head[:length], resp.StatusCode())
					}
					req, resp = post()
					began := false
					err := client.Stream(t.Context(), target, req, resp, func(_ *fasthttp.ResponseHeader, body io.Reader) error {
						began = true
						_, err := io.ReadAll(body)
						return err
					})
					if err == nil {
						t.Errorf("%q is a stream that is whole", head[:length])
					}
					if began && name != "chunked" {
						t.Errorf("%q is the beginning of a stream", head[:length])
					}
				})
			}
		})
	}
}
