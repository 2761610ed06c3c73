package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/logline"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// streamEventTimeout is the longest time between two events of a resumable stream.
// After it, another replica continues the stream.
const streamEventTimeout = 1200 * time.Millisecond

// Sink passes a stream on to the caller.
type Sink interface {
	// Begin is called once, with the header of the answer.
	Begin(header *fasthttp.ResponseHeader)
	// Event is called with the unchanged bytes of each event. An error ends the stream.
	Event(raw []byte) error
}

// Streamer reads an event stream from one replica.
type Streamer interface {
	// StreamEvents makes one attempt and returns nil if the stream is complete. The
	// stream starts after the event with the number after. begin is called once if
	// the answer is a stream, and event for each complete event with its number. An
	// answer that is not a stream is stored in resp, and the error is nil. Errors
	// are as for Exchanger.
	StreamEvents(ctx context.Context, target fleet.Replica, req *fasthttp.Request, resp *fasthttp.Response, after int,
		begin func(header *fasthttp.ResponseHeader), event func(id int, raw []byte) error) error
}

// streamCall is the state of a stream that is being forwarded.
type streamCall struct {
	*Gateway
	call    Call
	service string
	sink    Sink
	// after is the number of the last event that was passed on.
	after int
	// begun is true once Sink.Begin was called.
	begun bool
	// attempts is the number of attempts that a replica may have run.
	attempts int
	avoid    map[string]bool
	// sinkErr is the error of Sink.Event that ended the stream; nil without one.
	sinkErr    error
	attemptLog attemptLog
	// counted is true once the request was counted as usage. A stream that the caller
	// resumes was counted with its first event.
	counted bool
}

// Stream forwards a request whose answer is an event stream. The stream starts after
// the event with the number after. It returns nil for a complete stream. An answer
// that is not a stream is stored in resp. If Stream returns an error after
// Sink.Begin, the caller must be able to see that the stream is incomplete.
func (g *Gateway) Stream(ctx context.Context, streamer Streamer, call Call, after int, sink Sink, resp *fasthttp.Response) error {
	s := &streamCall{Gateway: g, call: call, service: call.Route.ServiceFor(call.ID), sink: sink, after: after, avoid: map[string]bool{}, attemptLog: attemptLog{began: time.Now()}, counted: after > 0}
	g.fleet.BeginRequest(s.service)
	defer g.fleet.EndRequest(s.service)
	giveUp := time.Now().Add(slotTimeout(call.Route))
	for {
		target, err := s.reserve()
		if err == nil {
			err = s.attempt(ctx, streamer, target, resp)
			if err == nil {
				logline.WithTeam(g.log, call.Team).Info("stream ended", append([]any{
					"id", call.ID, "route", call.Route.Name, "service", s.service, "replica", target.ID, "status", resp.StatusCode(), "sent", s.attempts,
					"events", s.after, "configuration", call.ConfigVersion, "trail", s.attemptLog.String(),
				}, target.Estimate.LogFields()...)...)
				return nil
			}
		}
		if end := s.endOrRetry(ctx, err, giveUp); end != nil {
			e := failure.As(end)
			logline.WithTeam(g.log, call.Team).Info("stream failed", "id", call.ID, "route", call.Route.Name, "service", s.service, "kind", e.Kind, "outcome", e.Outcome,
				"sent", s.attempts, "after", s.after, "configuration", call.ConfigVersion, "trail", s.attemptLog.String(), "error", e.Error())
			return e
		}
	}
}

// reserve chooses the replica of the next attempt.
func (s *streamCall) reserve() (fleet.Replica, error) {
	if err := s.guard.Admit(s.call.Fingerprint); err != nil {
		return fleet.Replica{}, err
	}
	return s.fleet.Reserve(fleet.Requirements{Service: s.service, Request: placement.Request{Domain: s.domain, Avoid: s.avoid, AllowQueue: true}})
}

// attempt streams from one replica and records the result.
func (s *streamCall) attempt(ctx context.Context, streamer Streamer, target fleet.Replica, resp *fasthttp.Response) error {
	defer s.fleet.Release(target.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timeout of the route, or the deadline if it is earlier, applies to the first
	// event, and streamEventTimeout to later ones of a resumable stream. Later events
	// of other streams have no timeout here.
	timeout := time.AfterFunc(min(time.Until(s.call.Deadline), s.call.Route.Timeout), cancel)
	defer timeout.Stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	shareRequest(s.call.Request, req)
	if len(s.avoid) == 0 {
		s.events.QueueWait(s.call.Kind, time.Since(s.attemptLog.began))
	}
	s.attempts++
	s.avoid[target.ID] = true
	s.attemptLog.begin(target.ID)
	began, streamed, seen := time.Now(), false, false
	err := streamer.StreamEvents(ctx, target, req, resp, s.after, func(header *fasthttp.ResponseHeader) {
		streamed = true
		if !s.begun {
			s.begun = true
			s.sink.Begin(header)
		}
	}, func(id int, raw []byte) error {
		// A caller that reads slowly is no reason to ask another replica.
		timeout.Stop()
		if !seen {
			seen = true
			s.events.FirstByte(s.call.Kind, time.Since(began))
			if !s.counted {
				s.counted = true
				s.countUsage(s.call, time.Now())
			}
		}
		s.after = id
		s.sinkErr = s.sink.Event(raw)
		if s.call.Route.Resumable {
			timeout.Reset(streamEventTimeout)
		}
		return s.sinkErr
	})
	if err == nil && s.begun && !streamed {
		err = failure.New(failure.UpstreamFailed, failure.Ran, "replica %s answered with status %d instead of the rest of the stream", target.ID, resp.StatusCode())
	}
	if err == nil {
		s.attemptLog.end(target.ID, "whole")
		s.fleet.RecordSuccess(target.ID)
		if streamed {
			s.guard.Answered(s.call.Fingerprint)
		}
		return nil
	}
	if s.sinkErr == nil {
		s.guard.Failed(ctx, s.call.ID, s.call.Fingerprint, target, err)
	}
	e := failure.As(err)
	s.attemptEnded(&s.attemptLog, s.call.ID, target, time.Since(began), e, "after", s.after)
	switch {
	case s.sinkErr != nil:
	case e.Outcome == failure.NotRun:
		s.attempts--
		s.recordFailure(target.ID, e)
	default:
		s.recordFailure(target.ID, e)
	}
	return err
}

// endOrRetry returns the error that ends the stream, or nil, after a short delay, if
// another attempt may be made.
func (s *streamCall) endOrRetry(ctx context.Context, err error, giveUp time.Time) error {
	e := failure.As(err)
	switch {
	case s.sinkErr != nil:
		return failure.Wrap(err, failure.Internal, failure.Unknown, "the caller stopped reading the stream")
	case ctx.Err() != nil || !time.Now().Before(s.call.Deadline):
		return failure.Wrap(err, failure.DeadlineExceeded, s.combinedOutcome(), "the stream was not complete before the deadline")
	case e.Kind == failure.Quarantined && s.attempts == 0:
		return err
	case e.Kind == failure.Quarantined:
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "the stream broke off")
	case e.Outcome == failure.NotRun && !s.begun:
		if time.Until(giveUp) < e.RetryAfter && s.attempts == 0 {
			s.fleet.RecordUnmet(s.service)
			return failure.Wrap(err, failure.QueueFull, failure.NotRun, "no replica of service %s accepted the request", s.service).
				WithRetryAfter(max(busyRetryAfter, e.RetryAfter))
		}
	case !s.call.Route.Resumable || s.attempts >= max(1, s.call.Route.MaxAttempts):
		return failure.Wrap(err, failure.UpstreamFailed, s.combinedOutcome(), "the stream broke off")
	}
	pause.For(ctx, slotRetryInterval)
	return nil
}

// combinedOutcome returns the outcome of all attempts together.
func (s *streamCall) combinedOutcome() failure.Outcome {
	if s.attempts == 0 {
		return failure.NotRun
	}
	return failure.Unknown
}
