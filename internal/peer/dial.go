package peer

import (
	"context"
	"io"
	"time"
)

// dial opens a link to a host in the background, unless its address is already being dialed or the Node is not
// running. The caller holds mu.
func (n *Node) dial(id, address string) {
	if _, busy := n.dialing[address]; busy || n.ctx == nil || n.ctx.Err() != nil {
		return
	}
	n.dialing[address] = struct{}{}
	ctx := n.ctx
	n.tasks.Go(func() { n.dialLink(ctx, id, address) })
}

// dialLink opens a connection with a gossip stream, and serves both until they end.
func (n *Node) dialLink(ctx context.Context, id, address string) {
	began := time.Now()
	conn, stream, err := n.openLink(ctx, address)
	n.mu.Lock()
	delete(n.dialing, address)
	if err != nil {
		n.markUnreachable(id, began)
	}
	n.mu.Unlock()
	if err != nil {
		n.opts.Log.V(1).Info("peer can't be dialed", "peer", id, "address", address, "error", err.Error())
		return
	}
	defer conn.Close()
	n.tasks.Go(func() { n.serveConn(ctx, conn) })
	newLink(n, conn, stream, true).run(ctx)
}

func (n *Node) openLink(ctx context.Context, address string) (Conn, Stream, error) {
	dialCtx, cancel := context.WithTimeout(ctx, n.opts.Timing.PeerSuspect)
	defer cancel()
	conn, err := n.opts.Transport.Dial(dialCtx, address)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.Open(dialCtx)
	if err == nil {
		_, err = stream.Write([]byte{gossipStream})
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, stream, nil
}

// accept serves the connections that other hosts open, until ctx ends.
func (n *Node) accept(ctx context.Context) {
	for {
		conn, err := n.opts.Transport.Accept(ctx)
		if err != nil {
			return
		}
		n.tasks.Go(func() { n.serveConn(ctx, conn) })
	}
}

// serveConn serves the streams that the other end of a connection opens.
func (n *Node) serveConn(ctx context.Context, conn Conn) {
	defer conn.Close()
	for {
		stream, err := conn.Accept(ctx)
		if err != nil {
			return
		}
		n.tasks.Go(func() { n.serveStream(ctx, conn, stream) })
	}
}

func (n *Node) serveStream(ctx context.Context, conn Conn, stream Stream) {
	_ = stream.SetDeadline(time.Now().Add(n.opts.Timing.PeerDead))
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		stream.Abort()
		return
	}
	_ = stream.SetDeadline(time.Time{})
	switch kind[0] {
	case gossipStream:
		newLink(n, conn, stream, false).run(ctx)
	case callStream:
		n.serveCall(ctx, conn, stream)
	default:
		stream.Abort()
	}
}
