package platform

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with each write of the key. Zero means that the row does not exist.
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

// Transaction applies all writes if all checks pass, and none otherwise.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Table is the transactional table service.
//
// Errors are *failure.Error: Conflict if a check failed, StoreUnavailable if the
// call had no effect, StoreInDoubt if it may have taken effect.
type Table interface {
	// Read returns one row for each key, in the order of keys. A row that does not
	// exist has version zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is greater than
	// after, ordered by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction.
	Transact(ctx context.Context, tx Transaction) error
}

// ObjectStore stores opaque objects by key. Errors are as for Table.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the object. The error is of kind NotFound if the key does not exist.
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
	// Pool is the name of the section in the deployment document that the upstream
	// serves; empty for hosts.
	Pool string `json:"pool,omitempty"`
	// Address is the host:port for HTTP.
	Address string `json:"address"`
	// PeerAddress is the UDP host:port of a host's peer exchange; empty for upstreams.
	PeerAddress   string      `json:"peer_address,omitempty"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region,omitempty"`
	State         MemberState `json:"state"`
	// Incarnation distinguishes two processes with the same ID.
	Incarnation string `json:"incarnation,omitempty"`
}

// Members is the platform's membership list, which lags behind changes.
type Members interface {
	List(ctx context.Context) ([]Member, error)
	// Register adds or renews a member. A member that is not renewed disappears from
	// the list after a while.
	Register(ctx context.Context, member Member) error
	Deregister(ctx context.Context, id string) error
}

// WeightVersion is one published version of a model's weights.
type WeightVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// Bytes is the size of the weights in bytes.
	Bytes       int64     `json:"bytes"`
	PublishedAt time.Time `json:"published_at"`
}

// Weights is the catalogue of the weight store. Engines download the weights
// themselves, at the store's limited rate.
type Weights interface {
	// Latest returns the newest version of a model, or version zero if none has been
	// published.
	Latest(ctx context.Context, model string) (WeightVersion, error)
	Publish(ctx context.Context, version WeightVersion) error
}
