package control

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	logFileMode = 0o644
	maxLogLine  = 1 << 20 // bytes
)

// ExecutionLog records what a stand-in executes. With a file, the entries are
// available again after a crash and restart.
type ExecutionLog struct {
	mu      sync.Mutex
	entries []standinapi.LogEntry
	file    *os.File
}

// OpenLog opens the execution log in the file at path and reads its entries. An
// empty path keeps the log in memory only. Errors are InvalidSettings.
func OpenLog(path string) (*ExecutionLog, error) {
	l := &ExecutionLog{}
	if path == "" {
		return l, nil
	}
	if err := l.load(path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "log file %s cannot be opened", path).WithField("log-file")
	}
	l.file = file
	return l, nil
}

// load reads the entries of the file at path, if it exists.
func (l *ExecutionLog) load(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "", "log file %s cannot be read", path).WithField("log-file")
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var entry standinapi.LogEntry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return failure.Wrap(err, failure.InvalidSettings, "", "log file %s has a malformed line", path).WithField("log-file")
		}
		l.entries = append(l.entries, entry)
	}
	return nil
}

// Add appends an entry with the current time. It returns after the entry is
// written to the file, if there is one.
func (l *ExecutionLog) Add(entry standinapi.LogEntry) {
	entry.AtMillis = time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
	if l.file == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return
	}
	_, _ = l.file.Write(append(line, '\n'))
}

// Entries returns a copy of the entries without the first after ones.
func (l *ExecutionLog) Entries(after int) []standinapi.LogEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after > len(l.entries) {
		after = len(l.entries)
	}
	return append([]standinapi.LogEntry{}, l.entries[after:]...)
}

// Close closes the file. Later entries are kept in memory only.
func (l *ExecutionLog) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// BodyHash returns the xxhash of a request body in hexadecimal, as in LogEntry.BodyHash.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
