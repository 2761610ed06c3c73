package config

import (
	"context"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// HostStatus is the version in force on one host, as known to the answering host.
type HostStatus struct {
	// Host is the host's id.
	Host  string         `json:"host"`
	State peer.HostState `json:"state"`
	// Version is the version that the host announced, or for the answering host the
	// version in force; zero if none.
	Version uint64 `json:"version"`
	// Hash is the hash of that version, as in VersionInfo.
	Hash string `json:"hash,omitempty"`
}

// Status is the rollout state of the version in force on the answering host.
type Status struct {
	// Head is the version in force on the answering host.
	Head VersionInfo `json:"head"`
	// Everywhere is true if each host that is neither dead nor has left announced
	// the same version and document.
	Everywhere bool `json:"everywhere"`
	// Hosts is the status of each known host.
	Hosts []HostStatus `json:"hosts"`
}

// Reader reads the configuration and its rollout state on behalf of operators.
type Reader struct {
	store    *store
	source   *Source
	exchange peer.Exchange
}

// InForce returns the version in force on this host. Its Version is zero if there is none.
func (r *Reader) InForce() Record { return r.source.Record() }

// Version returns an accepted version. It reads the store unless that version is in
// force on this host. The error is NotFound if the store does not have the version,
// else the store's error.
func (r *Reader) Version(ctx context.Context, version uint64) (Record, error) {
	if current := r.source.Record(); current.Version == version {
		return current, nil
	}
	return r.store.record(ctx, version)
}

// History returns up to limit accepted versions from the store, newest first.
func (r *Reader) History(ctx context.Context, limit int) ([]VersionInfo, error) {
	head, _, err := r.store.head(ctx)
	if err != nil {
		return nil, err
	}
	return r.store.history(ctx, head.Version+1, limit)
}

// NotInContact returns the ids of the known hosts that are suspected or dead.
func (r *Reader) NotInContact() []string {
	return lo.FilterMap(r.exchange.Hosts(), func(h peer.Host, _ int) (string, bool) {
		return h.ID, h.State == peer.StateSuspect || h.State == peer.StateDead
	})
}

// Status returns the version in force on each known host.
func (r *Reader) Status() Status {
	announced := map[string]announcement{}
	for _, entry := range r.exchange.Entries(peer.TopicConfig) {
		if a, err := decodeAnnouncement(entry); err == nil {
			announced[entry.HostID] = a
		}
	}
	head := r.source.Record().VersionInfo
	status := Status{Head: head, Everywhere: true}
	self := r.exchange.Self().ID
	for _, host := range r.exchange.Hosts() {
		a := announced[host.ID]
		known := HostStatus{Host: host.ID, State: host.State, Version: a.Version, Hash: a.hash()}
		if host.ID == self {
			known.Version, known.Hash = head.Version, head.Hash
		}
		gone := host.State == peer.StateDead || host.State == peer.StateLeft
		if !gone && (known.Version != head.Version || known.Hash != head.Hash) {
			status.Everywhere = false
		}
		status.Hosts = append(status.Hosts, known)
	}
	return status
}
