package peer

import (
	"context"
	"time"
)

// Topic groups entries by what they mean.
type Topic string

// Topics of entries.
const (
	// TopicHost announces a host: its addresses and state. The key is the host's id.
	TopicHost Topic = "host"
	// TopicConfig announces the configuration version in force on a host. The key is "version".
	TopicConfig Topic = "config"
	// TopicLeaving names upstreams that take no new work. The key is the member id.
	TopicLeaving Topic = "leaving"
	// TopicCrash reports requests that were in flight on a crashed upstream. The key is the request fingerprint.
	TopicCrash Topic = "crash"
	// TopicDemand reports a host's recent demand by tenant. The key is "all".
	TopicDemand Topic = "demand"
	// TopicWeights announces weight versions that replicas run. The key is the member id.
	TopicWeights Topic = "weights"
	// TopicPublished announces the newest published weight version. The key is the engine pool.
	TopicPublished Topic = "published"
	// TopicRollout announces a trainer's demand for rollouts on an engine pool. The key is the trainer.
	TopicRollout Topic = "rollout"
)

// Entry is one value that one host published.
type Entry struct {
	// HostID and Incarnation name the process that published the entry.
	HostID      string
	Incarnation string
	Topic       Topic
	Key         string
	Value       []byte
}

// HostState is what this host believes of another.
type HostState string

// States of a host.
const (
	StateAlive   HostState = "alive"
	StateSuspect HostState = "suspect"
	StateDead    HostState = "dead"
	StateLeft    HostState = "left"
)

// Host is one host as known by the exchange.
type Host struct {
	ID            string
	Incarnation   string
	CallerAddress string
	PeerAddress   string
	FailureDomain string
	Region        string
	// Draining is true once the host has announced that it stops.
	Draining bool
	State    HostState
}

// Handler answers a call from another host. Its error reaches the caller as a *failure.Error.
type Handler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Exchange is what the rest of a host needs of the peer exchange.
type Exchange interface {
	// Self returns this host.
	Self() Host
	// Hosts returns all known hosts, this one included, in order of id.
	Hosts() []Host
	// Publish sets this host's entry for a topic and key. It disappears everywhere after ttl unless published again.
	Publish(topic Topic, key string, value []byte, ttl time.Duration)
	// Withdraw removes this host's entry.
	Withdraw(topic Topic, key string)
	// Entries returns the entries of all hosts for a topic.
	Entries(topic Topic) []Entry
	// Watch returns a channel that receives after entries of the topic changed; changes may be merged.
	Watch(topic Topic) <-chan struct{}
	// Handle registers the handler of a method; call it before the exchange starts.
	Handle(method string, h Handler)
	// Call calls a method on another host. A PeerUnreachable error with outcome NotRun means that
	// nothing was sent; with outcome Unknown the other host may have acted.
	Call(ctx context.Context, hostID, method string, payload []byte) ([]byte, error)
	// LastContact returns when this host last had an application answer from any peer; zero if never.
	LastContact() time.Time
	// SetDraining announces that this host stops.
	SetDraining()
}
