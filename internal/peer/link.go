package peer

import (
	"context"
	"sync"
	"time"
)

const (
	// minFrameInterval is the minimum time between two frames of a link. Changes within it are sent together.
	minFrameInterval = 50 * time.Millisecond
	// maxUrgentBytes limits the urgent entries in one frame, in bytes.
	maxUrgentBytes = 64 << 10
	// maxBulkBytes limits the bulk entries in one frame, in bytes.
	maxBulkBytes = 8 << 10
)

// link exchanges entries with one host over one stream. Each side sends the
// entries that the other does not have, and acknowledges numbered frames.
type link struct {
	node     *Node
	conn     Conn
	stream   Stream
	hostID   string
	outbound bool
	opened   time.Time
	// wake tells the writer that there may be something to send.
	wake chan struct{}

	mu sync.Mutex
	// known is the highest sequence numbers that the other side has, by incarnation; nil until its digest arrives.
	known map[string]sequences
	// cursor is the arrival number up to which entries have been sent, by lane.
	cursor sequences
	// sent, acked and received are the highest frame numbers sent, acknowledged and received.
	sent, acked, received uint64
	// unackedSince is when the wait for an acknowledgement began: when the oldest unacknowledged frame was sent
	// or, if later, at the last new acknowledgement or the end of a pause of this process. Zero if all frames
	// are acknowledged.
	unackedSince time.Time
	pingDue      bool
	ackDue       bool
}

func newLink(n *Node, conn Conn, stream Stream, outbound bool) *link {
	return &link{
		node: n, conn: conn, stream: stream, hostID: conn.PeerID(), outbound: outbound,
		opened: time.Now(), wake: make(chan struct{}, 1),
	}
}

// run exchanges frames until the stream fails or ctx ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.node.addLink(l)
	defer l.node.removeLink(l)
	stop := context.AfterFunc(ctx, l.stream.Abort)
	defer stop()
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		l.read()
	})
	l.write(ctx)
	cancel()
	l.stream.Abort()
	reader.Wait()
}

// close ends the link; run returns soon after.
func (l *link) close() { l.stream.Abort() }

// read handles received frames until the stream fails.
func (l *link) read() {
	for {
		var f frame
		if readMessage(l.stream, maxFrameBytes, &f) != nil {
			return
		}
		l.handleFrame(&f)
	}
}

// handleFrame applies one received frame.
func (l *link) handleFrame(f *frame) {
	now := time.Now()
	l.mu.Lock()
	if f.Ack > l.acked {
		l.acked = f.Ack
		l.unackedSince = time.Time{}
		if l.acked < l.sent {
			l.unackedSince = now
		}
	}
	if f.Number > l.received {
		l.received = f.Number
		l.ackDue = true
	}
	first := f.Digest != nil && l.known == nil
	if first {
		l.known = f.Digest
	}
	for _, b := range f.Blocks {
		l.markKnown(b)
	}
	due := l.ackDue || first
	l.mu.Unlock()
	l.node.applyBlocks(l, f.Blocks, now)
	if due {
		signal(l.wake)
	}
}

// markKnown records that the other side has the entries of a block. The caller holds mu.
func (l *link) markKnown(b block) {
	if l.known == nil {
		return
	}
	seen := l.known[b.Incarnation]
	for _, it := range b.Items {
		lane := laneOf(it.Topic)
		seen[lane] = max(seen[lane], it.Seq)
	}
	l.known[b.Incarnation] = seen
}

// write sends frames until the stream fails or ctx ends.
func (l *link) write(ctx context.Context) {
	hello := &frame{Number: 1, Digest: l.node.digest()}
	l.mu.Lock()
	l.sent = 1
	l.unackedSince = time.Now()
	l.mu.Unlock()
	if l.send(hello) != nil {
		return
	}
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if f := l.nextFrame(); f != nil && l.send(f) != nil {
			return
		}
		select {
		case <-time.After(minFrameInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) send(f *frame) error {
	_ = l.stream.SetDeadline(time.Now().Add(l.node.opts.Timing.PeerDead))
	err := writeMessage(l.stream, f)
	_ = l.stream.SetDeadline(time.Time{})
	return err
}

// nextFrame returns the frame to send now, or nil if there is nothing to send.
func (l *link) nextFrame() *frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		return nil
	}
	now := time.Now()
	blocks, more := l.node.blocksToSend(l, now)
	if more {
		signal(l.wake)
	}
	if len(blocks) == 0 && !l.pingDue && !l.ackDue {
		return nil
	}
	f := &frame{Ack: l.received, Blocks: blocks}
	if len(blocks) > 0 || l.pingDue {
		l.sent++
		f.Number = l.sent
		if l.unackedSince.IsZero() {
			l.unackedSince = now
		}
	}
	l.pingDue, l.ackDue = false, false
	return f
}

// ping sends a frame that asks for an acknowledgement, with the bulk entries that are due.
func (l *link) ping() {
	l.mu.Lock()
	l.pingDue = true
	l.mu.Unlock()
	signal(l.wake)
}

// oldestUnacked returns unackedSince, the start of the wait for an acknowledgement.
func (l *link) oldestUnacked() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unackedSince
}

// restartAckWait restarts the wait for acknowledgements, after this process was paused.
func (l *link) restartAckWait(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unackedSince.IsZero() {
		l.unackedSince = now
	}
}

// ready reports whether the other side's digest has arrived.
func (l *link) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known != nil
}
