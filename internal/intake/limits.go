package intake

import (
	"math"
	"syscall"
	"time"
)

const mebibyte = 1 << 20

// MaxHeaderBytes is the size of the largest request line with headers that hosts read.
const MaxHeaderBytes = headerBufferBytes

const (
	// defaultMemoryMB is the memory by which limits are computed if the settings name none.
	// It is above what clients within the limits of a host without that setting use.
	defaultMemoryMB = 4096
	// budgetPercent is the part of the memory that the budget of bytes has. 45 % of the
	// smallest host (184 MB) is 82 MB, enough for a body of 32 MB and an answer of that size.
	// The rest is for the process itself (26 MB without load), connections and garbage.
	budgetPercent = 45
	// connectionPercent is the part of the memory that idle connections may take, each of
	// connectionBytes: a read buffer, the state of the HTTP library and a goroutine.
	connectionPercent = 20
	connectionBytes   = headerBufferBytes + 16<<10
	// softLimitPercent is the part of the memory that is the soft limit of the Go runtime. The
	// rest is for the program text (15 MB) and what the runtime does not count.
	softLimitPercent = 70
	// headerBufferBytes is the size of the buffer for the request line and the headers of a
	// request. Operators allow 16,384 bytes of headers.
	headerBufferBytes = 24 << 10
)

const (
	// ownDescriptors is the number of descriptors of a host without clients: listeners,
	// connections to the store, and what the runtime opens.
	ownDescriptors = 24
	// Connections of callers get 2/5 of the other descriptors, and each further listener 1/20,
	// which leaves as many for replicas as for callers.
	callerFDPercent = 40
	otherFDPercent  = 5
	// minConnections is the least limit of the connections of a listener.
	minConnections = 2
	// addressPercent is the part of a listener's connections that one address may have.
	addressPercent = 75
)

// Defaults of the limits of progress. 8 KB a second is a poor mobile connection.
const (
	DefaultStallTimeout = 5 * time.Second
	DefaultMinBodyRate  = 8 << 10
	DefaultWriteTimeout = 10 * time.Second
)

const (
	// bodyGrace is the time after which the average rate of a body counts.
	bodyGrace = 10 * time.Second
	// writePiece is the size of the pieces in which answers are written, in bytes.
	writePiece = 64 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply without a configuration. Clients reuse
	// connections for four fifths of the idle timeout of the configuration, usually 15 s.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 20 * time.Second
	// defaultBodyBytes is the largest body without a configuration.
	defaultBodyBytes = 32 << 20
	// headerSlack is added to the header timeout, since a client counts from the moment at
	// which it began to send.
	headerSlack = 250 * time.Millisecond
)

// Limits are the limits of a process that do not change while it runs.
type Limits struct {
	// Bytes is the budget of bytes.
	Bytes int64
	// SoftLimit is the soft memory limit of the Go runtime in bytes; zero sets none.
	SoftLimit int64
	// CallerConnections is the limit of the connections of callers, OtherConnections that of
	// each other listener.
	CallerConnections, OtherConnections int
	// AddressConnections is the limit of the callers' connections of one address.
	AddressConnections int
	// StallTimeout ends a request of which no byte of the body arrives for this long.
	StallTimeout time.Duration
	// MinBodyRate is the least rate at which a body must arrive, in bytes a second. It counts
	// after bodyGrace.
	MinBodyRate int
	// WriteTimeout bounds the time in which a client takes a piece of writePiece bytes of an
	// answer; the default is 6.5 KB a second.
	WriteTimeout time.Duration
}

// LimitsOf returns the limits of a host with an amount of memory in units of 1,048,576 bytes
// and a number of descriptors. Zero stands for not known: the defaults apply, and the
// limit of descriptors of the process.
func LimitsOf(memoryMB float64, maxFDs int) Limits {
	memory := int64(memoryMB * mebibyte)
	l := Limits{StallTimeout: DefaultStallTimeout, MinBodyRate: DefaultMinBodyRate, WriteTimeout: DefaultWriteTimeout}
	if memory > 0 {
		l.SoftLimit = memory * softLimitPercent / 100
	} else {
		memory = defaultMemoryMB * mebibyte
	}
	if maxFDs <= 0 {
		maxFDs = processFDs()
	}
	l.Bytes = memory * budgetPercent / 100
	free := max(0, maxFDs-ownDescriptors)
	byMemory := int(memory * connectionPercent / 100 / connectionBytes)
	l.SetCallerConnections(max(minConnections, min(byMemory, free*callerFDPercent/100)))
	l.OtherConnections = max(minConnections, min(byMemory/4, free*otherFDPercent/100))
	return l
}

// SetCallerConnections sets the limit of callers' connections, and that of one address to its
// part of it.
func (l *Limits) SetCallerConnections(n int) {
	l.CallerConnections, l.AddressConnections = n, max(1, n*addressPercent/100)
}

// processFDs returns the limit of descriptors of the process.
func processFDs() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// RequestLimits are the limits of requests in the operator's configuration. Zero stands for
// the default.
type RequestLimits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// withDefaults returns the limits with defaults for those that are zero.
func (l RequestLimits) withDefaults() RequestLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = headerBufferBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
