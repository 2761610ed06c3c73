package peer

import (
	"context"
	"time"
)

// Topic is the kind of an entry.
type Topic string

// Topics of entries.
const (
	// TopicHost is a host's addresses and state. The key is the host's id.
	TopicHost Topic = "host"
	// TopicConfig is the configuration version in force on a host. The key is "version".
	TopicConfig Topic = "config"
	// TopicLeaving marks an upstream that accepts no new work. The key is the member id.
	TopicLeaving Topic = "leaving"
	// TopicCrash is a request that was in flight on a crashed upstream. The key is the request fingerprint.
	TopicCrash Topic = "crash"
	// TopicDemand is a host's recent demand by tenant. The key is "all".
	TopicDemand Topic = "demand"
	// TopicWeights is the weight versions that a replica runs. The key is the member id.
	TopicWeights Topic = "weights"
	// TopicPublished is the newest published weight version. The key is the engine pool.
	TopicPublished Topic = "published"
	// TopicRollout is a trainer's demand for rollouts on an engine pool. The key is the trainer.
	TopicRollout Topic = "rollout"
)

// Entry is a value published by one host.
type Entry struct {
	// HostID and Incarnation identify the process that published the entry.
	HostID      string
	Incarnation string
	Topic       Topic
	Key         string
	Value       []byte
}

// HostState is the state of a host, as seen by this host.
type HostState string

// States of a host. A suspect host has not answered for Timing.PeerSuspect; it
// counts as dead if it does not refute the suspicion. A host that has left
// announced its stop.
const (
	StateAlive   HostState = "alive"
	StateSuspect HostState = "suspect"
	StateDead    HostState = "dead"
	StateLeft    HostState = "left"
)

// Host is a host as known to the exchange.
type Host struct {
	ID            string
	Incarnation   string
	CallerAddress string
	PeerAddress   string
	FailureDomain string
	Region        string
	// Draining is true if the host has announced that it is stopping.
	Draining bool
	State    HostState
}

// Handler handles a call from the host with id from. The calling host receives
// its error as a *failure.Error.
type Handler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Exchange shares entries with the other hosts and calls methods on them.
type Exchange interface {
	// Self returns this host.
	Self() Host
	// Hosts returns all known hosts, including this one, ordered by id.
	Hosts() []Host
	// Publish sets this host's entry for a topic and key. The entry expires on all hosts after ttl unless it is
	// published again.
	Publish(topic Topic, key string, value []byte, ttl time.Duration)
	// Withdraw deletes this host's entry for a topic and key.
	Withdraw(topic Topic, key string)
	// Entries returns the entries of all hosts for a topic.
	Entries(topic Topic) []Entry
	// Watch returns a channel that receives a value after entries of the topic have changed. Several changes may
	// be reported as one.
	Watch(topic Topic) <-chan struct{}
	// Handle registers the handler of a method. Call it before the exchange starts.
	Handle(method string, h Handler)
	// Call calls a method on another host. A PeerUnreachable error with outcome NotRun means that nothing was
	// sent; with outcome Unknown the other host may have run the method.
	Call(ctx context.Context, hostID, method string, payload []byte) ([]byte, error)
	// LastContact returns when this host last received entries or a reply from any peer; zero if never.
	LastContact() time.Time
	// SetDraining announces that this host is stopping.
	SetDraining()
}
