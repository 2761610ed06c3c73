package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// fetchMethod is the peer call that returns the version in force on a host.
	fetchMethod  = "config.fetch"
	fetchTimeout = 2 * time.Second // bounds one fetch from one host
	// fetchAttempts is the number of hosts that are asked for an announced version in one round.
	fetchAttempts = 3
)

// fetchRequest asks a host for its version in force if that is at least Version.
type fetchRequest struct {
	Version uint64
}

// fetchHandler serves fetchMethod.
type fetchHandler struct{ source *Source }

func (h *fetchHandler) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var request fetchRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "", "fetch request cannot be decoded")
	}
	record := h.source.Record()
	if record.Version == 0 || record.Version < request.Version {
		return nil, failure.New(failure.NotFound, "", "version %d is not in force on this host, which has version %d", request.Version, record.Version)
	}
	reply, err := msgpack.Marshal(record)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "version %d cannot be encoded", record.Version)
	}
	return reply, nil
}

// follower fetches higher versions from the peers that announce them.
type follower struct {
	log      logr.Logger
	source   *Source
	exchange peer.Exchange
	// watch receives a value after announcements have changed.
	watch <-chan struct{}
	// retryInterval is the time after which a failed fetch is retried.
	retryInterval time.Duration
}

// run follows announcements until ctx ends.
func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(f.retryInterval)
	defer ticker.Stop()
	for {
		f.followOnce(ctx)
		select {
		case <-f.watch:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announcedVersion is the announcement of a peer.
type announcedVersion struct {
	host string
	announcement
}

// followOnce fetches the highest announced version if it is higher than the one
// in force. It asks the peers that announce it in random order.
func (f *follower) followOnce(ctx context.Context) {
	candidates := f.fetchCandidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for i, c := range candidates {
		if i == fetchAttempts || f.source.compare(c.Version, c.hash()) != newerVersion {
			return
		}
		if err := f.fetch(ctx, c); err != nil {
			f.log.V(1).Info("configuration fetch failed", "peer", c.host, "version", c.Version, "error", err.Error())
		}
	}
}

// fetchCandidates returns the announcements of the highest version, if it is higher than the one in force.
func (f *follower) fetchCandidates() []announcedVersion {
	var best []announcedVersion
	for _, entry := range f.exchange.Entries(peer.TopicConfig) {
		a, err := decodeAnnouncement(entry)
		if err != nil {
			f.log.Error(err, "announcement ignored")
			continue
		}
		switch f.source.compare(a.Version, a.hash()) {
		case forkedVersion:
			f.source.forkedSeen.Inc()
			f.log.Info("peer has another document under the same configuration version", "peer", entry.HostID, "version", a.Version)
		case newerVersion:
			if len(best) > 0 && a.Version > best[0].Version {
				best = best[:0]
			}
			if len(best) == 0 || a.Version == best[0].Version {
				best = append(best, announcedVersion{host: entry.HostID, announcement: a})
			}
		case olderVersion, sameVersion:
		}
	}
	return best
}

// fetch gets a version from the peer that announced it and applies it.
func (f *follower) fetch(ctx context.Context, o announcedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	payload, err := msgpack.Marshal(fetchRequest{Version: o.Version})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "fetch request cannot be encoded")
	}
	reply, err := f.exchange.Call(ctx, o.host, fetchMethod, payload)
	if err != nil {
		return err
	}
	var record Record
	if err := msgpack.Unmarshal(reply, &record); err != nil {
		return failure.Wrap(err, failure.Internal, "", "fetched version cannot be decoded")
	}
	if record.Version == o.Version && record.Hash != o.hash() {
		return failure.New(failure.InvalidDocument, "", "fetched version %d has hash %s, but hash %s was announced", record.Version, record.Hash, o.hash())
	}
	return f.source.apply(record, originPeer)
}
