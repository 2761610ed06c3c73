package peer

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Kinds of streams. The kind is the first byte of a stream.
const (
	gossipStream byte = 'g'
	callStream   byte = 'c'
)

// maxFrameBytes is the maximum size of a frame, in bytes.
const maxFrameBytes = 1 << 20

// frame is a message of a gossip stream.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Number numbers the sender's frames that ask for an acknowledgement; zero for other frames.
	Number uint64
	// Ack is the highest Number received.
	Ack uint64
	// Digest is the highest sequence numbers that the sender has, by incarnation. Only the first frame of each
	// side has it.
	Digest map[string]sequences
	Blocks []block
}

// block holds entries of one process.
type block struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	HostID      string
	Incarnation string
	Items       []item
}

// item is an entry on the wire.
type item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint64
	Topic   Topic
	Key     string
	Value   []byte
	Deleted bool
	// TTLMillis is the remaining time to live, in milliseconds.
	TTLMillis int64
}

// blocksOf groups entries by process and keeps their order within each process.
func blocksOf(entries []*storedEntry, now time.Time) []block {
	var blocks []block
	index := make(map[*origin]int)
	for _, e := range entries {
		left := e.expires.Sub(now)
		if left <= 0 {
			continue
		}
		i, ok := index[e.origin]
		if !ok {
			i = len(blocks)
			index[e.origin] = i
			blocks = append(blocks, block{HostID: e.origin.hostID, Incarnation: e.origin.incarnation})
		}
		blocks[i].Items = append(blocks[i].Items, item{
			Seq: e.seq, Topic: e.topic, Key: e.key, Value: e.value, Deleted: e.deleted, TTLMillis: left.Milliseconds(),
		})
	}
	return blocks
}

// updates returns the entries of a block as updates of the store.
func (b block) updates() []update {
	out := make([]update, 0, len(b.Items))
	for _, it := range b.Items {
		out = append(out, update{
			hostID: b.HostID, incarnation: b.Incarnation, seq: it.Seq, topic: it.Topic, key: it.Key,
			value: it.Value, deleted: it.Deleted, ttl: time.Duration(it.TTLMillis) * time.Millisecond,
		})
	}
	return out
}

// lengthPrefixBytes is the size of the big-endian length before each message.
const lengthPrefixBytes = 4

// writeMessage writes a value with a length prefix.
func writeMessage(w io.Writer, value any) error {
	data := encode(value)
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	_, err := w.Write(append(out, data...))
	return err
}

// readMessage reads a value with a length prefix. It fails with InvalidRequest if
// the value has more than limit bytes or is malformed.
func readMessage(r io.Reader, limit int, value any) error {
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > limit {
		return failure.New(failure.InvalidRequest, "", "peer message has %d bytes, the limit is %d", size, limit).WithField("message")
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	if !decode(data, value) {
		return failure.New(failure.InvalidRequest, "", "peer message of %d bytes is malformed", size).WithField("message")
	}
	return nil
}
