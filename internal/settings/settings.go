package settings

import "time"

// Settings are the settings of one host. Each field is a section of the INI file.
type Settings struct {
	Host     Host     `ini:"host"`
	Platform Platform `ini:"platform"`
	TLS      TLS      `ini:"tls"`
	Access   Access   `ini:"access"`
	Log      Log      `ini:"log"`
	Timing   Timing   `ini:"timing"`
	Rollout  Rollout  `ini:"rollout"`
	Jobs     Jobs     `ini:"jobs"`
}

// Host is the [host] section.
type Host struct {
	// ID is the unique id of the host. Required; at most 64 characters.
	ID string `ini:"id" validate:"required,max=64"`
	// FailureDomain is the host's failure domain. Required.
	FailureDomain string `ini:"failure_domain" validate:"required"`
	// Region is the name of a group of failure domains. Optional.
	Region string `ini:"region"`
	// MemoryMB is the memory of the host in units of 1,048,576 bytes. What callers may make
	// the host hold and the soft memory limit of the Go runtime (70 %) are computed from it.
	// The default 0 sets no soft limit and computes the others for 4,096.
	MemoryMB float64 `ini:"memory_mb" validate:"gte=0,lte=16777216"`
	// MaxFDs is the number of descriptors that the host may open, of which callers'
	// connections get 2/5. The default 0 uses the limit of the process.
	MaxFDs int `ini:"max_fds" validate:"gte=0"`
	// CallerAddress is the TCP ip:port for callers and trainers. Required.
	CallerAddress string `ini:"caller_address" validate:"required,ipport"`
	// AdminAddress is the TCP ip:port of the administration API, the metrics and the
	// health checks. Required; must differ from CallerAddress.
	AdminAddress string `ini:"admin_address" validate:"required,ipport,nefield=CallerAddress"`
	// PeerAddress is the UDP ip:port of the peer exchange. Required.
	PeerAddress string `ini:"peer_address" validate:"required,ipport"`
	// SeedPeers are the peer addresses that the host contacts before it has received the
	// membership list. Optional.
	SeedPeers []string `ini:"seed_peers" delim:"," validate:"dive,ipport"`
}

// Platform is the [platform] section.
type Platform struct {
	// Address is the ip:port of the platform's services. Required.
	Address string `ini:"address" validate:"required,ipport"`
	// Timeout bounds one call to the platform. Default 1s.
	Timeout time.Duration `ini:"timeout" validate:"gt=0"`
}

// TLS is the [tls] section, on mutual TLS between hosts. All keys are paths of PEM files
// and required.
type TLS struct {
	// CA is the certificate of the authority that signs the hosts' certificates.
	CA string `ini:"ca" validate:"required"`
	// Certificate is the certificate of this host.
	Certificate string `ini:"certificate" validate:"required"`
	// Key is the private key of this host.
	Key string `ini:"key" validate:"required"`
}

// Access is the [access] section.
type Access struct {
	// OperatorTokenSHA256 is the SHA-256 hash, 64 hexadecimal digits, of the token of the
	// bootstrap operator, who can apply the first deployment document. Other operators
	// are defined in the document. Required.
	OperatorTokenSHA256 string `ini:"operator_token_sha256" validate:"required,len=64,hexadecimal"`
}

// Log is the [log] section.
type Log struct {
	// Level is "error", "info" or "debug". Default "info".
	Level string `ini:"level" validate:"oneof=error info debug"`
}

// Rollout is the [rollout] section.
type Rollout struct {
	// DisabledOptimizations lists the methods of shortening a step that this host does not
	// use when it schedules a trainer: "order", "hedge", "spares", "resume" and "spread",
	// which are the fields of rollout.Policy. Empty, the default, uses all.
	DisabledOptimizations []string `ini:"off" delim:"," validate:"dive,oneof=order hedge spares resume spread"`
}

// Jobs is the [jobs] section.
type Jobs struct {
	// Accept is "yes" if this host accepts and runs jobs, for which the platform needs a
	// row store. Default "no".
	Accept string `ini:"accept" validate:"oneof=yes no"`
	// Retention is how long a job that its trainer has ended is kept, counted from its
	// acceptance. A job that is not ended is kept. Default 1h.
	Retention time.Duration `ini:"retention" validate:"gt=0"`
}

// Timing is the [timing] section. All keys have defaults; see DefaultTiming.
type Timing struct {
	// ConfigPoll is the interval between two reads of the configuration row. Default 2s,
	// at most 5s.
	ConfigPoll time.Duration `ini:"config_poll" validate:"gt=0,lte=5s"`
	// MembershipPoll is the interval between two reads of the membership list. Default 1s.
	MembershipPoll time.Duration `ini:"membership_poll" validate:"gt=0"`
	// PeerRound is the interval between two rounds of the peer exchange. Default 500ms.
	PeerRound time.Duration `ini:"peer_round" validate:"gt=0"`
	// PeerSuspect is the time without contact after which a peer is suspected. Default 2s.
	PeerSuspect time.Duration `ini:"peer_suspect" validate:"gt=0"`
	// PeerDead is the time without contact after which a suspected peer is considered
	// dead. Default 5s, more than PeerSuspect.
	PeerDead time.Duration `ini:"peer_dead" validate:"gtfield=PeerSuspect"`
	// IsolationBound is the time without contact with the store and with any peer after
	// which a host considers itself isolated. Default 7s, the maximum; more than
	// ConfigPoll.
	IsolationBound time.Duration `ini:"isolation_bound" validate:"gtfield=ConfigPoll,lte=7s"`
	// LeaseTerm is the term of a controller's lease. Default 6s.
	LeaseTerm time.Duration `ini:"lease_term" validate:"gt=0"`
	// LeaseMargin is how long before the lease expires its holder stops acting, which
	// leaves time for an order in progress to end. Default 2s, at least LongestOrder and
	// less than LeaseTerm.
	LeaseMargin time.Duration `ini:"lease_margin" validate:"gtefield=LongestOrder,ltfield=LeaseTerm"`
	// LongestOrder bounds one order to an engine, from sending it to receiving its
	// answer. Default 2s.
	LongestOrder time.Duration `ini:"longest_order" validate:"gt=0"`
	// DialTimeout bounds the time to open a connection to an upstream. Default 500ms.
	DialTimeout time.Duration `ini:"dial_timeout" validate:"gt=0"`
	// ProgressTimeout is the longest time without progress in an exchange with an
	// upstream. Default 3s.
	ProgressTimeout time.Duration `ini:"progress_timeout" validate:"gt=0"`
	// IdleReuse is the longest time that a pooled connection may be idle and still be
	// reused. Default 2s.
	IdleReuse time.Duration `ini:"idle_reuse" validate:"gt=0"`
	// KeyRetention is how long a used idempotency key is remembered. Default 24h.
	KeyRetention time.Duration `ini:"key_retention" validate:"gt=0"`
	// QuarantineTerm is how long a request that has crashed upstreams is rejected.
	// Default 10m.
	QuarantineTerm time.Duration `ini:"quarantine_term" validate:"gt=0"`
	// StopGrace bounds the wait for requests in flight when the host stops. Default 2m.
	StopGrace time.Duration `ini:"stop_grace" validate:"gt=0"`
}

// DefaultTiming returns the defaults of the [timing] section.
func DefaultTiming() Timing {
	return Timing{
		ConfigPoll:      2 * time.Second,
		MembershipPoll:  time.Second,
		PeerRound:       500 * time.Millisecond,
		PeerSuspect:     2 * time.Second,
		PeerDead:        5 * time.Second,
		IsolationBound:  7 * time.Second,
		LeaseTerm:       6 * time.Second,
		LeaseMargin:     2 * time.Second,
		LongestOrder:    2 * time.Second,
		DialTimeout:     500 * time.Millisecond,
		ProgressTimeout: 3 * time.Second,
		IdleReuse:       2 * time.Second,
		KeyRetention:    24 * time.Hour,
		QuarantineTerm:  10 * time.Minute,
		StopGrace:       2 * time.Minute,
	}
}
