package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Fingerprint identifies requests with the same content to the same pool.
type Fingerprint uint64

// FingerprintOf hashes a pool's name and a request's method, target and body.
func FingerprintOf(pool string, req *fasthttp.Request) Fingerprint {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(pool), req.Header.Method(), req.URI().RequestURI(), req.Body()} {
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// key returns the fingerprint's key in the peer exchange.
func (f Fingerprint) key() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f)))
}

// parseKey is the inverse of Fingerprint.key. It returns false for an invalid key.
func parseKey(key string) (Fingerprint, bool) {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != 8 {
		return 0, false
	}
	return Fingerprint(binary.BigEndian.Uint64(raw)), true
}

// Crash is one upstream process that ended while a request was in flight on it.
type Crash struct {
	// Process is the upstream's id and incarnation.
	Process string `msgpack:"p"`
	// Upstream is the upstream's id.
	Upstream string `msgpack:"u"`
	// Trial is true if the request ran as a trial, on an upstream without other suspects.
	Trial bool `msgpack:"t"`
}

// report contains one host's observations of one fingerprint.
type report struct {
	Crashes []Crash `msgpack:"c"`
	// Cleared lists the processes whose crash the request did not cause.
	Cleared []string `msgpack:"x"`
}

// maxReportEntries bounds the length of each list of a report; the oldest entries are dropped.
const maxReportEntries = 16

// add appends newer observations of the same host.
func (r *report) add(update report) {
	r.Crashes = lo.UniqBy(append(r.Crashes, update.Crashes...), func(c Crash) string { return c.Process })
	r.Cleared = lo.Uniq(append(r.Cleared, update.Cleared...))
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxReportEntries):]
	r.Cleared = r.Cleared[max(0, len(r.Cleared)-maxReportEntries):]
}

func (r report) encode() ([]byte, error) {
	value, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "crash report cannot be encoded")
	}
	return value, nil
}

// requestRecord merges the reports of all hosts on one fingerprint.
type requestRecord struct {
	// crashes and cleared are keyed by Crash.Process.
	crashes   map[string]Crash
	cleared   map[string]bool
	expiresAt time.Time
}

func newRequestRecord() *requestRecord {
	return &requestRecord{crashes: make(map[string]Crash), cleared: make(map[string]bool)}
}

// add merges a report and reports whether it contained anything new.
func (rec *requestRecord) add(r report) bool {
	before := len(rec.crashes) + len(rec.cleared)
	for _, c := range r.Crashes {
		known, ok := rec.crashes[c.Process]
		c.Trial = c.Trial || (ok && known.Trial)
		rec.crashes[c.Process] = c
	}
	for _, process := range r.Cleared {
		rec.cleared[process] = true
	}
	return len(rec.crashes)+len(rec.cleared) > before
}

// unclearedCrashes returns the crashes from which the request has not been cleared.
func (rec *requestRecord) unclearedCrashes() []Crash {
	var open []Crash
	for process, c := range rec.crashes {
		if !rec.cleared[process] {
			open = append(open, c)
		}
	}
	return open
}
