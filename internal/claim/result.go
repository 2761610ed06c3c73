package claim

import (
	"crypto/sha256"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/httpsyntax"
)

// maxStoredAnswerBytes is the size of the largest answer that is kept for
// repeats, in bytes of body and headers.
const maxStoredAnswerBytes = 32 << 10

// Fingerprint is a hash of a request. Requests with the same key and different
// fingerprints are different requests, which is an error.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the hash of a request's method, target and body.
func FingerprintOf(req *fasthttp.Request) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write(req.Header.Method())
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(req.URI().RequestURI())
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(req.Body())
	var f Fingerprint
	digest.Sum(f[:0])
	return f
}

// Answer is a complete HTTP response. It is kept for repeats of the request, and is the
// reply of a key's home to the host that forwarded the request.
type Answer struct {
	Status int           `msgpack:"s"`
	Header []HeaderField `msgpack:"h"`
	Body   []byte        `msgpack:"b"`
}

// HeaderField is one header field of an Answer.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// AnswerOf copies a response, except for the request id header.
func AnswerOf(resp *fasthttp.Response) *Answer {
	a := &Answer{Status: resp.StatusCode()}
	for name, value := range resp.Header.All() {
		if string(name) != engineapi.HeaderRequestID {
			a.Header = append(a.Header, HeaderField{Name: string(name), Value: string(value)})
		}
	}
	a.Body = append(a.Body, resp.Body()...)
	return a
}

// Valid reports whether the answer may be sent: it has a final status and valid fields.
func (a *Answer) Valid() bool {
	for _, h := range a.Header {
		if !httpsyntax.ValidField(h.Name, h.Value) {
			return false
		}
	}
	return a.Status >= fasthttp.StatusOK && httpsyntax.ValidStatus(a.Status)
}

// WriteTo replaces the content of resp by the answer.
func (a *Answer) WriteTo(resp *fasthttp.Response) {
	resp.Reset()
	resp.Header.SetNoDefaultContentType(true)
	resp.SetStatusCode(a.Status)
	for _, h := range a.Header {
		resp.Header.Add(h.Name, h.Value)
	}
	resp.SetBody(a.Body)
}

// size returns the size of the body and headers in bytes.
func (a *Answer) size() int {
	size := len(a.Body)
	for _, h := range a.Header {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// Result is the result of a request with a key, as far as it is known. One
// of its fields is set.
type Result struct {
	// Answer is the complete answer, if the request ran and the answer was kept.
	Answer *Answer `msgpack:"a,omitempty"`
	// Failure is the error otherwise. Its outcome is never empty.
	Failure *failure.Error `msgpack:"f,omitempty"`
}

// resultOf returns the result of a dispatch that ended with err, or with resp if err is nil.
func resultOf(err error, resp *fasthttp.Response) Result {
	if err != nil {
		return Result{Failure: failure.As(err)}
	}
	if a := AnswerOf(resp); a.size() <= maxStoredAnswerBytes {
		return Result{Answer: a}
	}
	return answerNotKept()
}

// answerNotKept returns the result of a request that ran but whose answer is not available.
func answerNotKept() Result {
	return Result{Failure: failure.New(failure.OutcomeUnknown, failure.Ran, "the request ran, but its answer was not kept")}
}

// unknownResult returns the result of a request that may or may not have run.
func unknownResult(message string) Result {
	return Result{Failure: failure.New(failure.OutcomeUnknown, failure.Unknown, "%s", message)}
}

// notRun reports whether the request was certainly not run, so the key may be claimed again.
func (res Result) notRun() bool { return res.Failure != nil && res.Failure.Outcome == failure.NotRun }

// Deliver writes the kept answer to resp, or returns Failure if there is none. An answer that
// is not valid counts as one that was not kept.
func (res Result) Deliver(resp *fasthttp.Response) error {
	switch {
	case res.Answer == nil:
		return res.Failure
	case !res.Answer.Valid():
		return answerNotKept().Failure
	}
	res.Answer.WriteTo(resp)
	return nil
}
