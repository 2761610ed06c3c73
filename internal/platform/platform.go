package platform

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the key. Zero means that the row does not exist.
	Version uint64 `json:"version"`
}

// Check is a condition of a transaction: the key must be at exactly this version.
type Check struct {
	Key string `json:"key"`
	// Version zero requires that the row does not exist.
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all checks hold, and none otherwise.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Table is the transactional table service.
//
// Errors are *failure.Error: Conflict if a check did not hold,
// StoreUnavailable if the call surely had no effect, StoreInDoubt if it may
// have taken effect.
type Table interface {
	// Read returns one row for each key, in the order of keys. A missing row has version zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction.
	Transact(ctx context.Context, tx Transaction) error
}

// ObjectStore is the object store.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns NotFound if the key does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// MemberKind says what a member is.
type MemberKind string

// Kinds of members.
const (
	HostMember    MemberKind = "host"
	EngineMember  MemberKind = "engine"
	ServiceMember MemberKind = "service"
)

// MemberState is the platform's view of a member.
type MemberState string

// States of members.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one entry of the platform's membership list.
type Member struct {
	ID   string     `json:"id"`
	Kind MemberKind `json:"kind"`
	// Pool is the name of the deployment section that the upstream serves; empty for hosts.
	Pool string `json:"pool,omitempty"`
	// Address is host:port for HTTP.
	Address string `json:"address"`
	// PeerAddress is the UDP host:port of a host's peer exchange; empty for upstreams.
	PeerAddress   string      `json:"peer_address,omitempty"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region,omitempty"`
	State         MemberState `json:"state"`
	// Incarnation differs between two processes that used the same ID.
	Incarnation string `json:"incarnation,omitempty"`
}

// Members is the platform's membership list. Its answers lag behind the truth.
type Members interface {
	List(ctx context.Context) ([]Member, error)
	// Register announces or renews a member; a member not renewed for a while disappears.
	Register(ctx context.Context, member Member) error
	Deregister(ctx context.Context, id string) error
}

// WeightVersion is one published version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// Bytes is the size of the weights.
	Bytes       int64     `json:"bytes"`
	PublishedAt time.Time `json:"published_at"`
}

// Weights is the catalogue of the weight store. Engines fetch the weights
// themselves, at the store's limited rate.
type Weights interface {
	// Latest returns the newest version of a model; version zero if none is published.
	Latest(ctx context.Context, model string) (WeightVersion, error)
	Publish(ctx context.Context, version WeightVersion) error
}
