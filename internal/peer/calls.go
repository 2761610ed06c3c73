package peer

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// maxCallBytes is the maximum size of the message of a call, and of its reply, in bytes.
	maxCallBytes = 64 << 20
	// methodProbe is a call without effect to which every host replies.
	methodProbe = "peer.probe"
)

// callRequest is the request message of a call.
type callRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Method  string
	Payload []byte
	// TimeoutMillis is the time until the call's deadline, in milliseconds; zero means no deadline.
	TimeoutMillis int64
}

// callReply is the reply message of a call.
type callReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Payload []byte
	Failure *failure.Error
}

// Call implements Exchange.
func (n *Node) Call(ctx context.Context, hostID, method string, payload []byte) ([]byte, error) {
	address, err := n.addressOf(hostID)
	if err != nil {
		return nil, err
	}
	conn, err := n.calls.get(ctx, hostID, address)
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun, "cannot connect to host %s at %s", hostID, address)
	}
	request := callRequest{Method: method, Payload: payload}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	defer conn.release()
	defer n.calls.keepAlive(ctx, conn)()
	reply, sent, err := roundTrip(ctx, conn, request)
	if err != nil {
		// A call whose context has ended says nothing about the connection. The next call probes it.
		if ctx.Err() == nil {
			n.calls.remove(hostID, conn)
		}
		outcome := failure.Unknown
		if !sent {
			outcome = failure.NotRun
		}
		return nil, failure.Wrap(err, failure.PeerUnreachable, outcome, "call of %s on host %s failed", method, hostID)
	}
	n.mu.Lock()
	n.recordContact(hostID, time.Now())
	n.mu.Unlock()
	if reply.Failure != nil {
		return nil, reply.Failure
	}
	return reply.Payload, nil
}

// addressOf returns the peer address of a host, from its record or from the seeds.
func (n *Node) addressOf(hostID string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts.hosts[hostID]; h != nil {
		return h.record.PeerAddress, nil
	}
	if address, ok := n.seeds[hostID]; ok {
		return address, nil
	}
	return "", failure.New(failure.PeerUnreachable, failure.NotRun, "host %s is unknown to the peer exchange", hostID)
}

// roundTrip sends one request on a new stream and reads the reply. sent is false
// if it is certain that no byte of the request was sent.
func roundTrip(ctx context.Context, c *callConn, request callRequest) (reply callReply, sent bool, err error) {
	stream, err := c.Open(ctx)
	if err != nil {
		return reply, false, err
	}
	defer stream.Abort()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if ctx.Err() != nil {
		return reply, false, ctx.Err()
	}
	if _, err = stream.Write([]byte{callStream}); err != nil {
		return reply, true, err
	}
	if err = writeMessage(stream, &request); err != nil {
		return reply, true, err
	}
	_ = stream.Close()
	if err = readMessage(stream, maxCallBytes, &reply); err != nil {
		return reply, true, err
	}
	c.recordReply(time.Now())
	return reply, true, nil
}

// serveCall reads one call, runs its handler and sends the reply.
func (n *Node) serveCall(ctx context.Context, conn Conn, stream Stream) {
	var request callRequest
	if readMessage(stream, maxCallBytes, &request) != nil {
		stream.Abort()
		return
	}
	if request.TimeoutMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
		defer cancel()
	}
	reply := n.handleCall(ctx, conn.PeerID(), request)
	if writeMessage(stream, &reply) != nil {
		stream.Abort()
		return
	}
	_ = stream.Close()
}

func (n *Node) handleCall(ctx context.Context, from string, request callRequest) callReply {
	if request.Method == methodProbe {
		return callReply{}
	}
	n.mu.Lock()
	h := n.handlers[request.Method]
	n.mu.Unlock()
	if h == nil {
		return callReply{Failure: failure.New(failure.NotFound, failure.NotRun, "peer method %s does not exist", request.Method)}
	}
	payload, err := h(ctx, from, request.Payload)
	if err != nil {
		return callReply{Failure: failure.As(err)}
	}
	return callReply{Payload: payload}
}
