package settings

import "time"

// Settings are one host's settings. Each field is a key of the INI file.
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
	// ID is unique among the hosts.
	ID string `ini:"id" validate:"required,max=64"`
	// FailureDomain is the host's failure domain.
	FailureDomain string `ini:"failure_domain" validate:"required"`
	// Region groups failure domains.
	Region string `ini:"region"`
	// CallerAddress is the TCP ip:port for callers and trainers.
	CallerAddress string `ini:"caller_address" validate:"required,ipport"`
	// AdminAddress is the TCP ip:port of the administration API, metrics and health.
	AdminAddress string `ini:"admin_address" validate:"required,ipport,nefield=CallerAddress"`
	// PeerAddress is the UDP ip:port of the peer exchange.
	PeerAddress string `ini:"peer_address" validate:"required,ipport"`
	// SeedPeers are peer addresses to try before the membership list is known.
	SeedPeers []string `ini:"seed_peers" delim:"," validate:"dive,ipport"`
}

// Platform is the [platform] section.
type Platform struct {
	// Address is the ip:port of the platform's services.
	Address string `ini:"address" validate:"required,ipport"`
	// Timeout bounds one call.
	Timeout time.Duration `ini:"timeout" validate:"gt=0"`
}

// TLS is the [tls] section: files for mutual TLS between hosts.
type TLS struct {
	CA          string `ini:"ca" validate:"required"`
	Certificate string `ini:"certificate" validate:"required"`
	Key         string `ini:"key" validate:"required"`
}

// Access is the [access] section.
type Access struct {
	// OperatorTokenSHA256 is the hexadecimal SHA-256 of the token that may apply
	// the first document; operators of a document are named in the document.
	OperatorTokenSHA256 string `ini:"operator_token_sha256" validate:"required,len=64,hexadecimal"`
}

// Log is the [log] section.
type Log struct {
	// Level is "error", "info" or "debug".
	Level string `ini:"level" validate:"oneof=error info debug"`
}

// Rollout is the [rollout] section.
type Rollout struct {
	// DisabledOptimizations lists the ways of shortening a step that this host does not use when it
	// schedules a trainer: "order", "hedge", "spares", "resume" and "spread".
	DisabledOptimizations []string `ini:"off" delim:"," validate:"dive,oneof=order hedge spares resume spread"`
}

// Jobs is the [jobs] section.
type Jobs struct {
	// Accept says whether this host keeps and runs jobs. It needs the platform's row service.
	Accept string `ini:"accept" validate:"oneof=yes no"`
	// Retention is how long a job that is over is kept after its acceptance.
	Retention time.Duration `ini:"retention" validate:"gt=0"`
}

// Timing is the [timing] section. Every value has a default.
type Timing struct {
	// ConfigPoll is the interval at which the configuration row is read.
	ConfigPoll time.Duration `ini:"config_poll" validate:"gt=0,lte=5s"`
	// MembershipPoll is the interval at which the membership list is read.
	MembershipPoll time.Duration `ini:"membership_poll" validate:"gt=0"`
	// PeerRound is the interval of the peer exchange.
	PeerRound time.Duration `ini:"peer_round" validate:"gt=0"`
	// PeerSuspect is the silence after which a peer is suspected.
	PeerSuspect time.Duration `ini:"peer_suspect" validate:"gt=0"`
	// PeerDead is the silence after which a suspected peer is held dead.
	PeerDead time.Duration `ini:"peer_dead" validate:"gtfield=PeerSuspect"`
	// IsolationBound is the time without the store and without any peer after
	// which a host holds itself isolated.
	IsolationBound time.Duration `ini:"isolation_bound" validate:"gtfield=ConfigPoll,lte=7s"`
	// LeaseTerm is the term of a controller's lease.
	LeaseTerm time.Duration `ini:"lease_term" validate:"gt=0"`
	// LeaseMargin is how long before expiry a holder stops acting. It covers an order that was started just before.
	LeaseMargin time.Duration `ini:"lease_margin" validate:"gtefield=LongestOrder,ltfield=LeaseTerm"`
	// LongestOrder bounds one order to an engine, in both directions.
	LongestOrder time.Duration `ini:"longest_order" validate:"gt=0"`
	// DialTimeout bounds a dial to an upstream.
	DialTimeout time.Duration `ini:"dial_timeout" validate:"gt=0"`
	// ProgressTimeout is the longest silence within an exchange with an upstream.
	ProgressTimeout time.Duration `ini:"progress_timeout" validate:"gt=0"`
	// IdleReuse is the longest idle time after which a pooled connection is used again.
	IdleReuse time.Duration `ini:"idle_reuse" validate:"gt=0"`
	// KeyRetention is how long a used idempotency key is recognised.
	KeyRetention time.Duration `ini:"key_retention" validate:"gt=0"`
	// QuarantineTerm is how long a request that crashed upstreams is refused.
	QuarantineTerm time.Duration `ini:"quarantine_term" validate:"gt=0"`
	// StopGrace bounds the wait for requests in flight at a stop.
	StopGrace time.Duration `ini:"stop_grace" validate:"gt=0"`
}

// DefaultTiming returns the timing used where the file is silent.
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
