package config

import (
	"context"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// HostStatus is the version in force on one host, as far as it is known here.
type HostStatus struct {
	Host  string         `json:"host"`
	State peer.HostState `json:"state"`
	// Version is zero if the host announced none.
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
}

// Status says where the version in force on this host is in force too.
type Status struct {
	// Head is the version in force on the host that answers.
	Head VersionInfo `json:"head"`
	// Everywhere is true if each host that is not dead or gone announced the same version and document.
	Everywhere bool         `json:"everywhere"`
	Hosts      []HostStatus `json:"hosts"`
}

// Reader answers operators' questions.
type Reader struct {
	store    *store
	source   *Source
	exchange peer.Exchange
}

// InForce returns the version in force on this host; version zero if there is none.
func (r *Reader) InForce() Record { return r.source.Record() }

// Version returns an accepted version from the store.
func (r *Reader) Version(ctx context.Context, version uint64) (Record, error) {
	if current := r.source.Record(); current.Version == version {
		return current, nil
	}
	return r.store.record(ctx, version)
}

// History returns up to limit accepted versions, the newest first.
func (r *Reader) History(ctx context.Context, limit int) ([]VersionInfo, error) {
	head, _, err := r.store.head(ctx)
	if err != nil {
		return nil, err
	}
	return r.store.history(ctx, head.Version+1, limit)
}

// NotInContact returns the ids of the hosts that this host knows and does not reach.
func (r *Reader) NotInContact() []string {
	return lo.FilterMap(r.exchange.Hosts(), func(h peer.Host, _ int) (string, bool) {
		return h.ID, h.State == peer.StateSuspect || h.State == peer.StateDead
	})
}

// Status returns the version in force on each host.
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
