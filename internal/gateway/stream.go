package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// streamSilence is how long a stream that may be resumed is silent before
// another replica goes on with it.
const streamSilence = 1200 * time.Millisecond

// Sink takes a stream on its way to the caller.
type Sink interface {
	// Begin receives the header of the answer, once.
	Begin(header *fasthttp.ResponseHeader)
	// Event receives one whole event as it came. An error ends the stream.
	Event(raw []byte) error
}

// Streamer reads an event stream from one replica.
type Streamer interface {
	// StreamEvents makes one attempt. after is the event behind which the stream
	// goes on. begin is called once for an answer that is a stream, and event for
	// each whole event with its number. Answers that are no streams are left in
	// resp with a nil error. Other errors are as for Exchanger; nil says that
	// the stream came to its proper end.
	StreamEvents(ctx context.Context, target fleet.Replica, req *fasthttp.Request, resp *fasthttp.Response, after int,
		begin func(header *fasthttp.ResponseHeader), event func(id int, raw []byte) error) error
}

// streaming is one stream on its way.
type streaming struct {
	*Gateway
	call    Call
	service string
	sink    Sink
	// after is the newest event that was passed on.
	after int
	begun bool
	// sent is the number of attempts that a replica may have run.
	sent    int
	avoid   map[string]bool
	sinkErr error
	trail   trail
}

// Stream forwards a request whose answer is a stream. after is the event behind
// which the caller asks to go on. It returns nil for a whole stream. If the
// answer was no stream, it is left in resp. An error after Sink.Begin means that
// the stream must not look whole.
func (g *Gateway) Stream(ctx context.Context, streamer Streamer, call Call, after int, sink Sink, resp *fasthttp.Response) error {
	s := &streaming{Gateway: g, call: call, service: call.Route.ServiceFor(call.ID), sink: sink, after: after, avoid: map[string]bool{}, trail: trail{began: time.Now()}}
	giveUp := time.Now().Add(placeWait(call.Route))
	for {
		target, err := g.fleet.Reserve(fleet.Want{Service: s.service, Request: placement.Request{Domain: g.domain, Avoid: s.avoid, Queue: true}})
		if err == nil {
			err = s.attempt(ctx, streamer, target, resp)
			if err == nil {
				g.log.Info("stream ended", append([]any{
					"id", call.ID, "route", call.Route.Name, "service", s.service, "replica", target.ID, "status", resp.StatusCode(), "sent", s.sent,
					"events", s.after, "configuration", call.ConfigVersion, "trail", s.trail.String(),
				}, target.Basis.Fields()...)...)
				return nil
			}
		}
		if end := s.judge(ctx, err, giveUp); end != nil {
			e := failure.As(end)
			g.log.Info("stream failed", "id", call.ID, "route", call.Route.Name, "service", s.service, "kind", e.Kind, "outcome", e.Outcome,
				"sent", s.sent, "after", s.after, "configuration", call.ConfigVersion, "trail", s.trail.String(), "error", e.Error())
			return e
		}
	}
}

// attempt streams from one replica.
func (s *streaming) attempt(ctx context.Context, streamer Streamer, target fleet.Replica, resp *fasthttp.Response) error {
	defer s.fleet.Release(target.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The first event has as long as the route gives, later ones as long as a pause may be.
	silent := time.AfterFunc(min(time.Until(s.call.Deadline), s.call.Route.Timeout), cancel)
	defer silent.Stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.Request.CopyTo(req)
	if len(s.avoid) == 0 {
		s.events.Queue(s.call.Kind, time.Since(s.trail.began))
	}
	s.sent++
	s.avoid[target.ID] = true
	s.trail.begin(target.ID)
	began, seen := time.Now(), false
	err := streamer.StreamEvents(ctx, target, req, resp, s.after, func(header *fasthttp.ResponseHeader) {
		if !s.begun {
			s.begun = true
			s.sink.Begin(header)
		}
	}, func(id int, raw []byte) error {
		if s.call.Route.Resumable {
			silent.Reset(streamSilence)
		} else {
			silent.Stop()
		}
		if !seen {
			seen = true
			s.events.FirstByte(s.call.Kind, time.Since(began))
		}
		s.after = id
		s.sinkErr = s.sink.Event(raw)
		return s.sinkErr
	})
	if err == nil {
		s.trail.end(target.ID, "whole")
		s.fleet.Succeeded(target.ID)
		return nil
	}
	e := failure.As(err)
	s.attemptEnded(&s.trail, s.call.ID, target, time.Since(began), e, "after", s.after)
	switch {
	case s.sinkErr != nil:
	case e.Outcome == failure.NotRun:
		s.sent--
		s.leaveAlone(target.ID, e)
	default:
		s.leaveAlone(target.ID, e)
	}
	return err
}

// judge returns the end of the stream, or nil if another replica may be asked.
func (s *streaming) judge(ctx context.Context, err error, giveUp time.Time) error {
	e := failure.As(err)
	switch {
	case s.sinkErr != nil:
		return failure.Wrap(err, failure.Internal, failure.Unknown, "the caller takes no more events")
	case ctx.Err() != nil || !time.Now().Before(s.call.Deadline):
		return failure.Wrap(err, failure.DeadlineExceeded, s.outcome(), "the stream did not end in time")
	case e.Outcome == failure.NotRun && !s.begun:
		if time.Now().After(giveUp) && s.sent == 0 {
			return failure.Wrap(err, failure.QueueFull, failure.NotRun, "no replica of %s took the request", s.service).WithRetryAfter(retrySoon)
		}
	case !s.call.Route.Resumable || s.sent >= max(1, s.call.Route.MaxAttempts):
		return failure.Wrap(err, failure.UpstreamFailed, s.outcome(), "the stream broke off")
	}
	pause.For(ctx, placePause)
	return nil
}

// outcome says what is known of all attempts together.
func (s *streaming) outcome() failure.Outcome {
	if s.sent == 0 {
		return failure.NotRun
	}
	return failure.Unknown
}
