package config

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// announcementKey is the key of the peer.TopicConfig entry.
	announcementKey = "version"
	// announcementTTL is how long peers keep an announcement. It may be long
	// because each change of the version is announced at once.
	announcementTTL = 6 * time.Minute
	// announcementInterval is the time after which an unchanged version is announced again.
	announcementInterval = announcementTTL / 3
)

// announcement is the value of a peer.TopicConfig entry: the version in force on a host.
type announcement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  uint64
	// Hash is the SHA-256 of the document's text.
	Hash []byte
}

// hash returns the hash in hexadecimal, as in VersionInfo.
func (a announcement) hash() string { return hex.EncodeToString(a.Hash) }

// decodeAnnouncement decodes the announcement of a host.
func decodeAnnouncement(entry peer.Entry) (announcement, error) {
	var a announcement
	if err := msgpack.Unmarshal(entry.Value, &a); err != nil {
		return a, failure.Wrap(err, failure.Internal, "", "announcement of host %s cannot be decoded", entry.HostID)
	}
	return a, nil
}

// highestAnnouncedVersion returns the highest version that any host announces; zero if none does.
func highestAnnouncedVersion(exchange peer.Exchange) uint64 {
	highest := uint64(0)
	for _, entry := range exchange.Entries(peer.TopicConfig) {
		if a, err := decodeAnnouncement(entry); err == nil {
			highest = max(highest, a.Version)
		}
	}
	return highest
}

// announcer announces the version in force to peers.
type announcer struct {
	source   *Source
	exchange peer.Exchange
}

// run announces each change of the version, and renews the announcement before
// it expires, until ctx ends.
func (a *announcer) run(ctx context.Context) error {
	ticker := time.NewTicker(announcementInterval)
	defer ticker.Stop()
	for {
		changed := a.source.Changed()
		if err := a.publish(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// publish announces the version in force, if there is one.
func (a *announcer) publish() error {
	record := a.source.Record()
	if record.Version == 0 {
		return nil
	}
	hash, err := hex.DecodeString(record.Hash)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "hash of version %d is not hexadecimal", record.Version)
	}
	value, err := msgpack.Marshal(announcement{Version: record.Version, Hash: hash})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "announcement cannot be encoded")
	}
	a.exchange.Publish(peer.TopicConfig, announcementKey, value, announcementTTL)
	return nil
}
