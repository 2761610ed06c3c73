package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Keys of the table rows.
const (
	// headKey is the key of the head row, a VersionInfo of the newest version.
	headKey = "config/current"
	// documentPrefix is followed by a version. The row is its Record.
	documentPrefix = "config/document/"
	// changePrefix is followed by a change id. The row is the VersionInfo that the change led to.
	changePrefix = "config/change/"
)

// HistoryLimit is the number of accepted versions that the store keeps.
const HistoryLimit = 1000

// VersionInfo describes one accepted version.
type VersionInfo struct {
	Version uint64 `json:"version"`
	// ChangeID is the ID of the Change.
	ChangeID string `json:"change_id"`
	// Operator is the name of the operator who made the change.
	Operator string `json:"operator"`
	// AcceptedAt is the committing host's wall clock at the commit.
	AcceptedAt time.Time `json:"accepted_at"`
	// Hash is the hexadecimal SHA-256 of the document's text.
	Hash string `json:"hash"`
}

// Record is an accepted version with its document.
type Record struct {
	VersionInfo
	Text string `json:"text"`
}

// HashText returns the Hash of a document's text, as in VersionInfo.
func HashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// parse verifies the hash of a record's text and returns the document. The error
// is InvalidDocument.
func (r Record) parse() (*deployment.Document, error) {
	if got := HashText([]byte(r.Text)); got != r.Hash {
		return nil, failure.New(failure.InvalidDocument, "", "the text of version %d has hash %s, want %s", r.Version, got, r.Hash)
	}
	document, err := deployment.Parse([]byte(r.Text))
	if err != nil {
		return nil, err
	}
	document.Version = r.Version
	return document, nil
}

// documentKey returns the key of a version's document. Keys sort by version.
func documentKey(version uint64) string { return fmt.Sprintf("%s%020d", documentPrefix, version) }

// changeKey returns the key of a change's row.
func changeKey(id string) string { return changePrefix + id }

// decodeRow decodes a row's value into target. It leaves target unchanged if the
// row does not exist.
func decodeRow(row platform.Row, target any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, target); err != nil {
		return failure.Wrap(err, failure.Internal, "", "table row %s cannot be decoded", row.Key)
	}
	return nil
}

// encodeRow returns the write of a row.
func encodeRow(key string, value any) (platform.Write, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platform.Write{}, failure.Wrap(err, failure.Internal, "", "table row %s cannot be encoded", key)
	}
	return platform.Write{Key: key, Value: encoded}, nil
}
