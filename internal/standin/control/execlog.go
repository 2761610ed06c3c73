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

// ExecutionLog is the record of executions. With a file it outlives the process, so that
// a stand-in that crashed and started again still answers its whole record.
type ExecutionLog struct {
	mu      sync.Mutex
	entries []standinapi.LogEntry
	file    *os.File
}

// OpenLog returns a log that starts with the entries of the file at path. An empty path keeps the log in memory only.
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

// Add records an execution at the present time. It returns after the entry is in the file, if there is one.
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

// Entries returns a copy of the record without its first after entries.
func (l *ExecutionLog) Entries(after int) []standinapi.LogEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after > len(l.entries) {
		after = len(l.entries)
	}
	return append([]standinapi.LogEntry{}, l.entries[after:]...)
}

// Close closes the file.
func (l *ExecutionLog) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// BodyHash returns the hash that log entries hold of a body.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
