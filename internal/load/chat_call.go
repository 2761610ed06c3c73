package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
)

const maxEventLine = 1 << 20 // bytes

// chatCall is one streamed completion of a prompt that is unique to the request.
type chatCall struct {
	caller Caller
	http   *fasthttp.Client
	req    engineapi.ChatRequest
	body   []byte
}

const promptSentence = "You answer questions of fitters and dispatchers about flues, cowls, bags and trucks. "

func newChatCall(caller Caller, http *fasthttp.Client, runID, id string, number int, random *rand.Rand) (*chatCall, error) {
	question := "Question " + id
	if caller.Tokens > 0 {
		question += " " + engine.LengthMark + strconv.Itoa(caller.Tokens)
	}
	c := &chatCall{caller: caller, http: http, req: engineapi.ChatRequest{
		Model: caller.Model,
		Messages: []engineapi.Message{
			{Role: "system", Content: sharedPrompt(runID, random.IntN(caller.Prompts), caller.PromptBytes)},
			{Role: "user", Content: question},
		},
		MaxTokens: caller.MaxTokens,
		Stream:    true,
		Seed:      int64(number) + 1,
		Priority:  engineapi.PriorityInteractive,
	}}
	var err error
	if c.body, err = json.Marshal(c.req); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "completion request cannot be encoded")
	}
	return c, nil
}

// sharedPrompt returns prompt prefix number which, of size bytes. Requests of one
// run share it; the run id keeps prefixes out of caches that earlier runs filled.
func sharedPrompt(runID string, which, size int) string {
	text := "Manual " + runID + " " + strconv.Itoa(which) + ". "
	text += strings.Repeat(promptSentence, size/len(promptSentence)+1)
	return text[:size]
}

// recordID implements call.
func (c *chatCall) recordID() string { return engine.GenerationID(c.req.Messages, c.req.Seed) }

// attempt implements call.
func (c *chatCall) attempt(address, _ string, timeout, left time.Duration) attemptResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(joinURL(address, engineapi.PathChat))
	req.Header.SetContentType("application/json")
	setHostHeaders(req, c.caller, left)
	req.SetBody(c.body)
	if err := c.http.DoTimeout(req, resp, max(timeout, minAttemptTimeout)); err != nil {
		return classifyError(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if !succeeded(resp) {
		return parseStreamedRefusal(resp)
	}
	return c.readStream(resp.BodyStream(), time.Now().Add(left))
}

func parseStreamedRefusal(resp *fasthttp.Response) attemptResult {
	if stream := resp.BodyStream(); stream != nil {
		body, err := io.ReadAll(io.LimitReader(stream, maxAnswerBytes))
		if err != nil {
			return attemptResult{outcome: failure.Unknown, kind: kindBrokenAnswer}
		}
		return parseRefusalBody(body)
	}
	return parseRefusal(resp)
}

// chatAnswer collects the chunks of one streamed answer.
type chatAnswer struct {
	text         strings.Builder
	tokens       int
	finishReason string
	event        string
	first        time.Time
}

// readStream reads events until the end marker and checks the text. A stream that
// ends without the marker, or goes on past deadline, is broken.
func (c *chatCall) readStream(stream io.Reader, deadline time.Time) attemptResult {
	broken := attemptResult{outcome: failure.Unknown, kind: kindBrokenAnswer}
	if stream == nil {
		return broken
	}
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxEventLine)
	var s chatAnswer
	for lines.Scan() && time.Now().Before(deadline) {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte(": "))
		switch {
		case string(name) == "event":
			s.event = string(value)
		case string(name) != "data":
		case s.event == "error":
			return parseRefusalBody(value)
		case string(value) == engineapi.StreamEnd:
			return attemptResult{answered: true, mismatch: c.check(&s), firstByte: s.first}
		default:
			if !s.add(value) {
				return attemptResult{answered: true, mismatch: "event is not a chunk or has the wrong offset: " + string(value), firstByte: s.first}
			}
		}
	}
	return broken
}

// add appends a chunk. It reports false if data is not a chunk or its offset is
// not the number of tokens received so far.
func (s *chatAnswer) add(data []byte) bool {
	var chunk engineapi.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Offset != s.tokens {
		return false
	}
	if s.first.IsZero() {
		s.first = time.Now()
	}
	s.tokens += chunk.Tokens
	s.text.WriteString(chunk.Choices[0].Delta.Content)
	if reason := chunk.Choices[0].FinishReason; reason != "" {
		s.finishReason = reason
	}
	return true
}

// check compares the answer with the expected tokens, finish reason and text. It
// returns a description of the difference, or "".
func (c *chatCall) check(s *chatAnswer) string {
	tokens, reason := engine.ExpectedTokens(c.req.Messages, c.req.Seed, c.req.MaxTokens)
	if s.tokens != tokens || s.finishReason != reason {
		return fmt.Sprintf("stream ended after %d tokens with finish reason %q, want %d tokens with %q", s.tokens, s.finishReason, tokens, reason)
	}
	if s.text.String() != engine.ExpectedText(c.req.Messages, c.req.Seed, 0, tokens) {
		return "text differs from the expected text of the prompt and seed"
	}
	return ""
}
