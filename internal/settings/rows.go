package settings

import (
	"reflect"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

// AdapterRows is the value of platform.adapter that makes a host use a platform
// with a row service; see Rows.
const AdapterRows = "rows"

// Rows are the settings of a host on a platform whose row service keeps the
// configuration, the membership and the jobs.
type Rows struct {
	Host     RowsHost     `ini:"host"`
	Platform RowsPlatform `ini:"platform"`
	Log      Log          `ini:"log"`
	Timing   RowsTiming   `ini:"timing"`
	Swap     RowsSwap     `ini:"swap"`
}

// RowsHost is the [host] section.
type RowsHost struct {
	// ID is unique among the hosts.
	ID string `ini:"id" validate:"required,max=200"`
	// FailureDomain is the host's failure domain.
	FailureDomain string `ini:"failure_domain" validate:"required"`
	// Region groups failure domains.
	Region string `ini:"region"`
	// Cores is the processor time that the host has, in cores; hosts with more
	// run the jobs. Zero if all are alike.
	Cores float64 `ini:"cores" validate:"gte=0"`
	// CallerAddress is the TCP ip:port for callers and trainers.
	CallerAddress string `ini:"caller_address" validate:"required,ipport"`
	// ReadyAddress is the TCP ip:port of the readiness check.
	ReadyAddress string `ini:"ready_address" validate:"required,ipport"`
	// EntryAddress is the TCP ip:port that tells callers which hosts to use.
	EntryAddress string `ini:"entry_address" validate:"required,ipport"`
	// MetricsAddress is the TCP ip:port of the metrics; empty serves none.
	MetricsAddress string `ini:"metrics_address" validate:"omitempty,ipport,nefield=CallerAddress"`
}

// RowsPlatform is the [platform] section.
type RowsPlatform struct {
	// Adapter is "rows".
	Adapter string `ini:"adapter" validate:"oneof=rows"`
	// Address is the ip:port of the row service.
	Address string `ini:"address" validate:"required,ipport"`
}

// RowsTiming is the [timing] section. Every value has a default.
type RowsTiming struct {
	// EntryTTL is how long callers may keep an entry answer.
	EntryTTL time.Duration `ini:"entry_ttl" validate:"gt=0,lte=1h"`
	// LeaseTerm is the term of the lease under which orders are given.
	LeaseTerm time.Duration `ini:"lease_term" validate:"gt=1s"`
	// StopGrace bounds a stop.
	StopGrace time.Duration `ini:"stop_grace" validate:"gt=0"`
	// JobRetention is how long a job's results are kept after its acceptance.
	JobRetention time.Duration `ini:"job_retention" validate:"gt=0"`
}

// RowsSwap is the [swap] section.
type RowsSwap struct {
	// MaxConcurrentLoads bounds the engines that load weights at a time; zero makes it a share of them.
	MaxConcurrentLoads int `ini:"at_once" validate:"gte=0"`
}

// DefaultRows returns the settings used where the file is silent.
func DefaultRows() *Rows {
	return &Rows{
		Log: Log{Level: "info"},
		Timing: RowsTiming{
			EntryTTL:     2 * time.Second,
			LeaseTerm:    3 * time.Second,
			StopGrace:    8 * time.Second,
			JobRetention: 3 * time.Minute,
		},
	}
}

// LoadRows reads and checks the settings file at path, as Load does.
func LoadRows(path string) (*Rows, error) {
	file, err := strictini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings file %s cannot be read", path).WithField(path)
	}
	s := DefaultRows()
	if err := fill(file, s, reflect.TypeFor[Rows]()); err != nil {
		return nil, err
	}
	return s, nil
}

// UsesRows reports whether a settings file asks for the rows adapter. A file
// that can't be read does not; Load then says why.
func UsesRows(path string) bool {
	file, err := strictini.Load(path)
	return err == nil && file.Section("platform").Key("adapter").String() == AdapterRows
}
