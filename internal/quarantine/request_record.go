package quarantine

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Fingerprint identifies requests with the same content to the same pool or host.
type Fingerprint uint64

// FingerprintOf hashes a request's method, path and body, and the name of the pool or
// host to which the path belongs. The query counts only if there is no body: a caller may
// change it when it sends the same body again. The result is never zero.
func FingerprintOf(scope string, req *fasthttp.Request) Fingerprint {
	// Request.URI would parse the target, and a parsed target is sent in another form.
	target := req.Header.RequestURI()
	if len(req.Body()) > 0 {
		target, _, _ = bytes.Cut(target, []byte("?"))
	}
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(scope), req.Header.Method(), target, req.Body()} {
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(max(1, digest.Sum64()))
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
	// Trial is true if the request ran as a trial: no other request that may have
	// crashed an upstream ran on this one; see Registry.BeginTrial.
	Trial bool `msgpack:"t"`
}

// report contains one host's observations of one fingerprint.
type report struct {
	Crashes []Crash `msgpack:"c"`
	// RuledOut lists Crash.Process of the crashes that the request did not cause.
	RuledOut []string `msgpack:"x"`
}

// maxReportEntries bounds the length of each list of a report; the oldest entries are dropped.
const maxReportEntries = 16

// add appends newer observations of the same host. A process that is already
// listed keeps its entry, including Trial.
func (r *report) add(update report) {
	r.Crashes = lo.UniqBy(append(r.Crashes, update.Crashes...), func(c Crash) string { return c.Process })
	r.RuledOut = lo.Uniq(append(r.RuledOut, update.RuledOut...))
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxReportEntries):]
	r.RuledOut = r.RuledOut[max(0, len(r.RuledOut)-maxReportEntries):]
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
	// crashes and ruledOut are keyed by Crash.Process.
	crashes  map[string]Crash
	ruledOut map[string]bool
	// expiresAt is Registry.recordTTL after the last report for which add returned
	// true. The Registry drops the record then.
	expiresAt time.Time
}

func newRequestRecord() *requestRecord {
	return &requestRecord{crashes: make(map[string]Crash), ruledOut: make(map[string]bool)}
}

// add merges r. It returns true if r added a crash or ruled one out; a change of
// Trial alone does not count.
func (rec *requestRecord) add(r report) bool {
	before := len(rec.crashes) + len(rec.ruledOut)
	for _, c := range r.Crashes {
		known, ok := rec.crashes[c.Process]
		c.Trial = c.Trial || (ok && known.Trial)
		rec.crashes[c.Process] = c
	}
	for _, process := range r.RuledOut {
		rec.ruledOut[process] = true
	}
	return len(rec.crashes)+len(rec.ruledOut) > before
}

// possibleCrashes returns the crashes that are not ruled out.
func (rec *requestRecord) possibleCrashes() []Crash {
	var crashes []Crash
	for process, c := range rec.crashes {
		if !rec.ruledOut[process] {
			crashes = append(crashes, c)
		}
	}
	return crashes
}
