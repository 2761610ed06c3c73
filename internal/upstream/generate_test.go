package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// part is one step of a scripted connection: an event, or cut or silent in raw.
type part struct {
	id      string
	offset  int
	text    string
	version uint64
	finish  string
	raw     string
}

const (
	// cut closes the connection.
	cut = "cut"
	// silent sends nothing more and keeps the connection open.
	silent = "silent"
)

func (p part) event() string {
	if p.raw != "" {
		return p.raw
	}
	chunk := engineapi.ChatChunk{
		ID: p.id, Offset: p.offset, Tokens: len(p.text), WeightVersion: p.version,
		Choices: []engineapi.ChunkChoice{{Delta: engineapi.Message{Content: p.text}, FinishReason: p.finish}},
	}
	data, _ := json.Marshal(chunk)
	return "data: " + string(data) + "\n\n"
}

// script returns a serve function that sends the n-th list of parts on the n-th
// connection. It appends the ResumeFrom of each request to resumes.
func script(resumes *[]int, connections ...[]part) func(int32, net.Conn) {
	return func(n int32, c net.Conn) {
		var req fasthttp.Request
		if req.Read(bufio.NewReader(c)) != nil || int(n) > len(connections) {
			return
		}
		var chat engineapi.ChatRequest
		_ = json.Unmarshal(req.Body(), &chat)
		*resumes = append(*resumes, chat.ResumeFrom)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, p := range connections[n-1] {
			switch p.raw {
			case cut:
				return
			case silent:
				_, _ = io.Copy(io.Discard, c)
				return
			}
			event := p.event()
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	}
}

func TestGenerate(t *testing.T) {
	done := part{raw: "data: [DONE]\n\n"}
	a := part{id: "r", offset: 0, text: "abc", version: 1}
	b := part{id: "r", offset: 3, text: "de", version: 2, finish: engineapi.FinishStop}
	whole := Generation{
		Text: "abcde", Tokens: 5, FinishReason: engineapi.FinishStop,
		Segments: []engineapi.Segment{{WeightVersion: 1, Tokens: 3}, {WeightVersion: 2, Tokens: 2}},
	}
	partial := Generation{Text: "abc", Tokens: 3, Segments: []engineapi.Segment{{WeightVersion: 1, Tokens: 3}}}
	cases := map[string]struct {
		connections [][]part
		want        Generation
		resumes     []int
		kind        failure.Kind
	}{
		"whole":                  {connections: [][]part{{a, b, done}}, want: whole, resumes: []int{0}},
		"resumed after a cut":    {connections: [][]part{{a, {raw: cut}}, {b, done}}, want: whole, resumes: []int{0, 3}},
		"resumed after silence":  {connections: [][]part{{a, {raw: silent}}, {b, done}}, want: whole, resumes: []int{0, 3}},
		"resumed without [DONE]": {connections: [][]part{{a, b}, {{id: "r", offset: 5, finish: engineapi.FinishStop}, done}}, want: whole, resumes: []int{0, 5}},
		"gap resumed":            {connections: [][]part{{a, {id: "r", offset: 4, text: "e", finish: engineapi.FinishStop}, done}, {b, done}}, want: whole, resumes: []int{0, 3}},
		"overlap resumed":        {connections: [][]part{{a, {id: "r", offset: 2, text: "cd", finish: engineapi.FinishStop}, done}, {b, done}}, want: whole, resumes: []int{0, 3}},
		"other request's chunk":  {connections: [][]part{{{id: "q", text: "abc"}}}, resumes: []int{0}, kind: failure.IncompleteAnswer},
		"no finish reason":       {connections: [][]part{{a, done}, {done}, {done}}, want: partial, resumes: []int{0, 3, 3}, kind: failure.IncompleteAnswer},
		"broken for good":        {connections: [][]part{{a, {raw: cut}}, {{raw: cut}}, {{raw: cut}}, {b, done}}, want: partial, resumes: []int{0, 3, 3}, kind: failure.IncompleteAnswer},
		"cut before any chunk":   {connections: [][]part{{{raw: cut}}, {a, b, done}}, resumes: []int{0}, kind: failure.IncompleteAnswer},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var resumes []int
				w := &fakeUpstream{serve: script(&resumes, tc.connections...)}
				client := NewClient(w.dial, settings.DefaultTiming(), &marks{})
				var streamed strings.Builder
				got, err := client.Generate(t.Context(), target, engineapi.ChatRequest{RequestID: "r"}, func(c engineapi.ChatChunk) error {
					streamed.WriteString(c.Choices[0].Delta.Content)
					return nil
				})
				client.pool.closeIdle()
				synctest.Wait()
				if (err == nil) != (tc.kind == "") || err != nil && failure.As(err).Kind != tc.kind {
					t.Errorf("error %v, want kind %q", err, tc.kind)
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(tc.resumes, resumes); diff != "" {
					t.Error(diff)
				}
				if streamed.String() != got.Text {
					t.Errorf("streamed %q, returned %q", streamed.String(), got.Text)
				}
			})
		})
	}
}
