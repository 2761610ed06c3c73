package settings

import (
	"reflect"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

// AdapterRows is the value of platform.adapter for hosts on a platform with a row
// store; see Rows.
const AdapterRows = "rows"

// Rows are the settings of a host on a platform whose row store holds the
// configuration, the membership and the jobs. Each field is a section of the INI file.
type Rows struct {
	Host     RowsHost     `ini:"host"`
	Platform RowsPlatform `ini:"platform"`
	Log      Log          `ini:"log"`
	Timing   RowsTiming   `ini:"timing"`
	Swap     RowsSwap     `ini:"swap"`
	Control  RowsControl  `ini:"control"`
	Limits   RowsLimits   `ini:"limits"`
}

// RowsHost is the [host] section.
type RowsHost struct {
	// ID is the unique id of the host. Required; at most 200 characters.
	ID string `ini:"id" validate:"required,max=200"`
	// FailureDomain is the host's failure domain. Required.
	FailureDomain string `ini:"failure_domain" validate:"required"`
	// Region is the name of a group of failure domains. Optional.
	Region string `ini:"region"`
	// Cores is the number of processor cores of the host, which may be a fraction. Hosts
	// with more cores run the jobs. Leave it at the default 0 on all hosts if all
	// have the same number of cores.
	Cores float64 `ini:"cores" validate:"gte=0"`
	// CallerAddress is the TCP ip:port for callers and trainers. Required.
	CallerAddress string `ini:"caller_address" validate:"required,ipport"`
	// ReadyAddress is the TCP ip:port of the readiness check. Required.
	ReadyAddress string `ini:"ready_address" validate:"required,ipport"`
	// EntryAddress is the TCP ip:port at which callers ask which hosts to use. Required.
	EntryAddress string `ini:"entry_address" validate:"required,ipport"`
	// PeerAddress is the TCP ip:port for other hosts: they tell this host of jobs that it
	// owns, and let it make calls to the row store while the store turns them away.
	// Callers must not reach it. Empty, the default, takes no calls, and makes none.
	PeerAddress string `ini:"peer_address" validate:"omitempty,ipport,nefield=CallerAddress"`
	// MemoryMB is the memory of the host in units of 1,048,576 bytes, from which the limits of
	// RowsLimits and the soft memory limit of the Go runtime (70 %) are computed. The default
	// 0 sets no soft limit and computes the others for 4,096.
	MemoryMB float64 `ini:"memory_mb" validate:"gte=0,lte=16777216"`
	// MaxFDs is the number of descriptors that the host may open, of which clients get a
	// part. The default 0 uses the limit of the process.
	MaxFDs int `ini:"max_fds" validate:"gte=0"`
	// MetricsAddress is the TCP ip:port of the metrics. It must differ from CallerAddress.
	// Empty, the default, serves no metrics.
	MetricsAddress string `ini:"metrics_address" validate:"omitempty,ipport,nefield=CallerAddress"`
}

// RowsPlatform is the [platform] section.
type RowsPlatform struct {
	// Adapter must be AdapterRows.
	Adapter string `ini:"adapter" validate:"oneof=rows"`
	// Address is the TCP ip:port of the row store. Required.
	Address string `ini:"address" validate:"required,ipport"`
}

// RowsTiming is the [timing] section. All keys have defaults.
type RowsTiming struct {
	// EntryTTL is how long callers may use an entry answer. Default 2s, at most 1h.
	EntryTTL time.Duration `ini:"entry_ttl" validate:"gt=0,lte=1h"`
	// LeaseTerm is the term of the lease that allows a host to order engines to load
	// weights. Default 3s, more than 1s.
	LeaseTerm time.Duration `ini:"lease_term" validate:"gt=1s"`
	// StopGrace bounds the whole stop of a host, including the drain and the handover of
	// jobs. Default 8s.
	StopGrace time.Duration `ini:"stop_grace" validate:"gt=0"`
	// JobRetention is how long a job that its trainer has ended, and its results, are kept,
	// counted from the acceptance. A job that is not ended is kept. Default 3m.
	JobRetention time.Duration `ini:"job_retention" validate:"gt=0"`
	// QuarantineTerm is how long a request that has crashed replicas is refused. Default 10m.
	QuarantineTerm time.Duration `ini:"quarantine_term" validate:"gt=0"`
	// MaxConfigurationAge is the time for which a host admits requests that need a key
	// without a confirmation of its configuration by the store. At least 3s, because an
	// undisturbed host has a confirmation up to 2 s old. The default 0 sets no limit.
	MaxConfigurationAge time.Duration `ini:"max_configuration_age" validate:"omitempty,gte=3s"`
}

// RowsSwap is the [swap] section, on the loading of weight versions by engines.
type RowsSwap struct {
	// MaxConcurrentLoads is the maximum number of engines that load weights at the same
	// time. The default 0 allows 30 % of the engines, rounded up, and at least one.
	MaxConcurrentLoads int `ini:"at_once" validate:"gte=0"`
}

// Names of duties in RowsControl.Duties. Other names are ignored.
const (
	// DutyUsage is the report of each team's requests by window.
	DutyUsage = "usage_report"
	// DutyScaling is the order of replicas.
	DutyScaling = "autoscale"
)

// RowsControl is the [control] section, on calls to the control API of the platform.
type RowsControl struct {
	// Address is the TCP ip:port of the control API. Empty, the default, makes no calls.
	Address string `ini:"address" validate:"omitempty,ipport"`
	// Duties are the names of the duties that the hosts perform, separated by commas.
	// Default empty.
	Duties []string `ini:"duties" delim:","`
	// Window is the length of a usage window. Default 5s.
	Window time.Duration `ini:"window" validate:"gt=0"`
	// ReportLate is how long after its end a window is due. It only affects the metric
	// of late windows. Default 10s.
	ReportLate time.Duration `ini:"report_late" validate:"gt=0"`
	// FencingEnforced is true if the control API refuses calls with a lower fencing
	// token than one already seen. Default false.
	FencingEnforced bool `ini:"fencing_enforced"`
	// ScalingDelay is the time after the start of the host in which it orders no replicas
	// of a service for which none were ordered before. It must be longer than replicas take
	// to register. Default 10s.
	ScalingDelay time.Duration `ini:"scaling_delay" validate:"gte=0"`
}

// Has reports whether the hosts perform a duty.
func (c RowsControl) Has(duty string) bool {
	return c.Address != "" && slices.Contains(c.Duties, duty)
}

// RowsLimits is the [limits] section, on what clients may make the host hold. Keys whose default
// is 0 are then computed from host.memory_mb and host.max_fds.
type RowsLimits struct {
	// BudgetMB is the memory for bodies of requests, answers, events and jobs, in units of
	// 1,048,576 bytes. What does not fit is refused with 503. The default 0 is 45 % of
	// host.memory_mb, or 1,843 without it.
	BudgetMB int `ini:"budget_mb" validate:"gte=0,lte=16777216"`
	// CallerConnections is the largest number of callers' connections. Above it, connections
	// that were idle for the longest time make way. The default 0 is 2/5 of the descriptors,
	// or fewer if their buffers would take more than a fifth of the memory.
	CallerConnections int `ini:"caller_connections" validate:"gte=0"`
	// AddressConnections is the largest number of connections of callers at one address. The
	// default 0 is three quarters of CallerConnections.
	AddressConnections int `ini:"address_connections" validate:"gte=0"`
	// StallTimeout is how long no byte of a request's body may arrive; then it is answered
	// 408. Default 5s.
	StallTimeout time.Duration `ini:"stall_timeout" validate:"gt=0"`
	// MinBodyRate is the least average rate of a body after 10 s, in bytes a second; below it
	// the request is answered 408. Default 8192.
	MinBodyRate int `ini:"min_body_rate" validate:"gt=0"`
	// WriteTimeout is the time in which a caller must take each 65,536 bytes of an answer;
	// then its connection is closed. Default 10s.
	WriteTimeout time.Duration `ini:"write_timeout" validate:"gt=0"`
}

// DefaultRows returns the defaults for keys that are not in the file.
func DefaultRows() *Rows {
	return &Rows{
		Log: Log{Level: "info"},
		Timing: RowsTiming{
			EntryTTL:     2 * time.Second,
			LeaseTerm:    3 * time.Second,
			StopGrace:    8 * time.Second,
			JobRetention: 3 * time.Minute,

			QuarantineTerm: 10 * time.Minute,
		},
		Control: RowsControl{Window: 5 * time.Second, ReportLate: 10 * time.Second, ScalingDelay: 10 * time.Second},
		Limits:  RowsLimits{StallTimeout: intake.DefaultStallTimeout, MinBodyRate: intake.DefaultMinBodyRate, WriteTimeout: intake.DefaultWriteTimeout},
	}
}

// LoadRows reads and validates the settings file at path, with the same errors as Load.
func LoadRows(path string) (*Rows, error) {
	file, err := strictini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings file %s cannot be read", path).WithField(path)
	}
	s := DefaultRows()
	if err := decode(file, s, reflect.TypeFor[Rows]()); err != nil {
		return nil, err
	}
	return s, nil
}

// UsesRows reports whether a settings file selects the rows adapter. It returns false
// for a file that can't be read; Load then returns the error.
func UsesRows(path string) bool {
	file, err := strictini.Load(path)
	return err == nil && file.Section("platform").Key("adapter").String() == AdapterRows
}
