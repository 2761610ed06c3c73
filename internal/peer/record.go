package peer

import "github.com/vmihailenco/msgpack/v5"

// topicSuspect is the topic of suspicions. The key is the incarnation of the suspected process.
const topicSuspect Topic = "suspect"

// hostRecord is the value of a TopicHost entry.
type hostRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID string
	// Epoch orders the processes with the same host id; the one with the highest epoch is current.
	Epoch uint64
	// Version increases with each change of the record by the same process.
	Version       uint64
	CallerAddress string
	PeerAddress   string
	FailureDomain string
	Region        string
	Draining      bool
	Left          bool
}

// suspicion is the value of a topicSuspect entry. A newer version of the host record refutes it.
type suspicion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Version is the version of the suspected host record.
	Version uint64
}

// encode returns the msgpack encoding of a value. It panics on an error, because
// all messages of this package can be encoded.
func encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// decode decodes data into value, and reports whether data was valid.
func decode(data []byte, value any) bool { return msgpack.Unmarshal(data, value) == nil }
