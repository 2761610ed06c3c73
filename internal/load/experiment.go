package load

import "time"

// Experiment is one parsed experiment file.
type Experiment struct {
	Settings Settings
	// The lists are in file order.
	Upstreams []Upstream
	Processes []Process
	Callers   []Caller
	Trainers  []Trainer
	Faults    []Fault
	Arms      []Arm
}

// Settings is the [experiment] section.
type Settings struct {
	// Name is the name of the experiment in its report. Required.
	Name string `ini:"name" validate:"required"`
	// Hosts are the caller addresses, ip:port, that clients first request the entry
	// answer from. Required for callers via hosts and for trainers.
	Hosts []string `ini:"hosts" delim:"," validate:"dive,hostname_port"`
	// Platform is the platform's ip:port. Required for trainers.
	Platform string `ini:"platform" validate:"omitempty,hostname_port"`
	// Duration is the time during which requests arrive. Default 10s.
	Duration time.Duration `ini:"duration" validate:"gt=0"`
	// Warmup is the time at the start of the duration whose requests are checked but
	// left out of the measured times. Default 0.
	Warmup time.Duration `ini:"warmup" validate:"gte=0,ltfield=Duration"`
	// Settle is the longest wait for outstanding requests, and then for trainers,
	// after the duration. Default 30s.
	Settle time.Duration `ini:"settle" validate:"gte=0"`
	// Pause is the time between two arms. Default 1s.
	Pause time.Duration `ini:"pause" validate:"gte=0"`
	// MaxInFlight is the largest number of outstanding requests of all callers. An
	// arrival beyond it is not sent and counts as overrun. Default 4096.
	MaxInFlight int `ini:"max_in_flight" validate:"gt=0"`
	// Seed seeds arrivals, bodies and prompts. Default 1.
	Seed int64 `ini:"seed"`
}

// UpstreamKind is the kind of a stand-in, which decides how its execution record is
// read.
type UpstreamKind string

// Kinds of upstreams.
const (
	ServiceUpstream  UpstreamKind = "service"
	EngineUpstream   UpstreamKind = "engine"
	ScorerUpstream   UpstreamKind = "scorer"
	PlatformUpstream UpstreamKind = "platform"
)

// Upstream is an [upstream.NAME] section: a stand-in whose counters and execution
// record are read at the end of an arm.
type Upstream struct {
	Name string       `ini:"-"`
	Kind UpstreamKind `ini:"kind" validate:"oneof=service engine scorer platform"`
	// Control is the ip:port of the control interface. Required.
	Control string `ini:"control" validate:"required,hostname_port"`
	// Address is the ip:port for requests that bypass the hosts.
	Address string `ini:"address" validate:"omitempty,hostname_port"`
	// Pool is the pool that the upstream belongs to. Callers that bypass the hosts
	// select upstreams by it.
	Pool string `ini:"pool"`
}

// Process is a [process.NAME] section: a process whose CPU time and memory are
// measured, and that faults can send signals to.
type Process struct {
	Name string `ini:"-"`
	// PIDFile is the path of a file with the process id in decimal. Required.
	PIDFile string `ini:"pid_file" validate:"required"`
}

// CallKind is the kind of a caller's requests.
type CallKind string

// Kinds of calls.
const (
	// ServiceCall is an idempotent request to a plain service.
	ServiceCall CallKind = "service"
	// BookingCall is a request to a plain service that must run at most once.
	BookingCall CallKind = "booking"
	// ChatCall is a streamed completion.
	ChatCall CallKind = "chat"
)

// KeyKind is the kind of a booking's idempotency key.
type KeyKind string

// Kinds of keys.
const (
	// CallerKey is a UUID that the caller makes.
	CallerKey KeyKind = "caller"
	// HomeKey is a UUID with the key prefix of the first attempt's host.
	HomeKey KeyKind = "home"
	// NoKey sends no key.
	NoKey KeyKind = "none"
)

// Via is the route of requests to the upstreams.
type Via string

// Routes to the upstreams.
const (
	// ViaHosts sends requests to the hosts of the entry answer.
	ViaHosts Via = "hosts"
	// ViaDirect sends requests round-robin to the replicas of a pool, without a host.
	ViaDirect Via = "direct"
	// ViaBarrier runs a trainer's step without a host: all rollouts start at once,
	// round-robin over the replicas of a pool.
	ViaBarrier Via = "barrier"
)

// Caller is a [caller.NAME] section: a group of clients that send requests of one
// kind at random times.
type Caller struct {
	Name string `ini:"-"`
	// Tenant and Class group callers in the report. Tenant is required; Class is
	// interactive by default.
	Tenant string `ini:"tenant" validate:"required"`
	Class  string `ini:"class" validate:"required"`
	// Token is the tenant's bearer token. Empty sends none.
	Token string `ini:"token"`
	// Kind is the kind of requests. Default service.
	Kind CallKind `ini:"kind" validate:"oneof=service booking chat"`
	// Rate is the mean number of arrivals per second, over all clients. Default 10;
	// 0 sends nothing.
	Rate float64 `ini:"rate" validate:"gte=0"`
	// Clients is the number of clients that share the rate. Each requests an entry
	// answer of its own. Default 8.
	Clients int `ini:"clients" validate:"gt=0"`
	// FailureDomain is the clients' failure domain, for which the entry answer prefers
	// hosts. Empty states none.
	FailureDomain string `ini:"failure_domain"`
	// Requests arrive between Start and Stop, counted from the start of the arm. Start
	// is 0 by default; a Stop of 0, the default, means the end of the duration.
	Start time.Duration `ini:"start" validate:"gte=0"`
	Stop  time.Duration `ini:"stop" validate:"gte=0"`
	// Timeout limits a request with all its attempts; default 20s. AttemptTimeout
	// limits one attempt, and in a stream the time without an event; default 5s.
	Timeout        time.Duration `ini:"timeout" validate:"gt=0"`
	AttemptTimeout time.Duration `ini:"attempt_timeout" validate:"gt=0"`
	// MaxAttempts is the largest number of attempts of one request. Default 6.
	MaxAttempts int `ini:"max_attempts" validate:"gt=0"`
	// Via sends requests to the hosts (the default) or directly to the replicas of
	// Pool.
	Via  Via    `ini:"via" validate:"oneof=hosts direct"`
	Pool string `ini:"pool" validate:"required_if=Via direct"`
	// Method, Path and BodyBytes describe a service request or booking. The request's
	// number is appended to Path. Defaults: POST, / and 128.
	Method    string `ini:"method" validate:"oneof=GET PUT POST DELETE PATCH"`
	Path      string `ini:"path" validate:"startswith=/"`
	BodyBytes int    `ini:"body_bytes" validate:"gte=0"`
	// Key is the kind of the bookings' idempotency keys. Default caller.
	Key KeyKind `ini:"key" validate:"oneof=caller home none"`
	// Model is the model of completions. Default advice.
	Model string `ini:"model"`
	// PromptBytes is the length of a shared prompt prefix, and Prompts the number of
	// different prefixes, of which each request uses one. Defaults: 512 and 1.
	PromptBytes int `ini:"prompt_bytes" validate:"gte=0"`
	Prompts     int `ini:"prompts" validate:"gt=0"`
	// Tokens is the length of completions; 0, the default, gives each request a
	// length of its own. MaxTokens limits it; default 512.
	Tokens    int `ini:"tokens" validate:"gte=0"`
	MaxTokens int `ini:"max_tokens" validate:"gte=0"`
}

// Trainer is a [trainer.NAME] section: a trainer that runs in the load tool. NAME is
// its name in the deployment document.
type Trainer struct {
	Name string `ini:"-"`
	// Token is the trainer's bearer token.
	Token string `ini:"token"`
	// Via requests steps from the hosts (the default) or from a barrier over the
	// replicas of Pool.
	Via  Via    `ini:"via" validate:"oneof=hosts barrier"`
	Pool string `ini:"pool" validate:"required_if=Via barrier"`
	// Model is the model whose weights the trainer publishes. Default advice.
	Model string `ini:"model" validate:"required"`
	// Steps is the number of steps; 0, the default, continues for the duration.
	Steps int `ini:"steps" validate:"gte=0"`
	// FirstStep is the number of the first step. 0, the default, uses the Unix time in
	// milliseconds, which keeps the steps of successive runs apart.
	FirstStep uint64 `ini:"first_step"`
	// Groups, GroupSize (samples per group) and MaxTokens (per sample) are the size of
	// a step. Defaults: 8, 4 and 512.
	Groups    int `ini:"groups" validate:"gt=0"`
	GroupSize int `ini:"group_size" validate:"gt=0"`
	MaxTokens int `ini:"max_tokens" validate:"gt=0"`
	// PromptBytes is the length of the prompts' shared prefix. Default 512.
	PromptBytes int `ini:"prompt_bytes" validate:"gte=0"`
	// Ahead is the number of steps that are requested in advance of the awaited one.
	// Default 0.
	Ahead int `ini:"ahead" validate:"gte=0"`
	// TrainTime is the time of training on one step. Default 200ms.
	TrainTime time.Duration `ini:"train_time" validate:"gte=0"`
	// PublishEvery is the interval of new weights; 0, the default, publishes after
	// each step.
	PublishEvery time.Duration `ini:"publish_every" validate:"gte=0"`
	// Publish enables the publishing of weights. Default true.
	Publish bool `ini:"publish"`
	// WeightBytes is the size of a weight version, in bytes. Default 4 MiB.
	WeightBytes int64 `ini:"weight_bytes" validate:"gte=0"`
	// RefetchEvery n fetches every n-th step twice and compares the two. Default 2;
	// 0 never.
	RefetchEvery int `ini:"refetch_every" validate:"gte=0"`
	// StalenessBound is the largest allowed age of a delivered sample, in weight
	// versions. Default 2.
	StalenessBound uint64 `ini:"staleness_bound"`
}

// Fault is a [fault.NAME] section: a fault that is on for part of an arm.
type Fault struct {
	Name string `ini:"-"`
	// At is the start of the fault, from the start of the arm. For is its length; 0,
	// the default, lasts until the end of the arm.
	At  time.Duration `ini:"at" validate:"gte=0"`
	For time.Duration `ini:"for" validate:"gte=0"`
	// Target is the name of an upstream, or for a signal of a process. Required.
	Target string `ini:"target" validate:"required"`
	// Kind is a standinapi.FaultKind, or SignalFault. Required.
	Kind string `ini:"kind" validate:"required"`
	// Signal is sent to the process at At. A "stop" is followed by "continue" after For.
	Signal string `ini:"signal" validate:"required_if=Kind signal,omitempty,oneof=kill stop continue terminate"`
	// Delay, Match, Count and Bytes are the fields of a standinapi.Fault.
	Delay time.Duration `ini:"delay" validate:"gte=0"`
	Match string        `ini:"match"`
	Count int           `ini:"count" validate:"gte=0"`
	Bytes int           `ini:"bytes" validate:"gte=0"`
}

// SignalFault is the Fault.Kind that sends a signal to a process.
const SignalFault = "signal"

// Arm is an [arm.NAME] section: one run of the experiment with some values replaced.
// Each key is SECTION.KEY, such as "caller.app.via".
type Arm struct {
	Name string
	// Values are the replaced values, by SECTION.KEY.
	Values map[string]string
	// Experiment is the experiment with the values replaced.
	Experiment *Experiment
}

func defaultSettings() Settings {
	return Settings{Duration: 10 * time.Second, Settle: 30 * time.Second, Pause: time.Second, MaxInFlight: 4096, Seed: 1}
}

func defaultCaller() Caller {
	return Caller{
		Class: "interactive", Kind: ServiceCall, Rate: 10, Clients: 8, Timeout: 20 * time.Second, AttemptTimeout: 5 * time.Second,
		MaxAttempts: 6, Via: ViaHosts, Method: "POST", Path: "/", BodyBytes: 128, Key: CallerKey, Model: "advice",
		PromptBytes: 512, Prompts: 1, MaxTokens: 512,
	}
}

func defaultTrainer() Trainer {
	return Trainer{
		Via: ViaHosts, Model: "advice", Groups: 8, GroupSize: 4, MaxTokens: 512, PromptBytes: 512,
		TrainTime: 200 * time.Millisecond, Publish: true, WeightBytes: 4 << 20, RefetchEvery: 2, StalenessBound: 2,
	}
}

// SetSeed replaces the seed of all arms. A seed of 0 changes nothing.
func (e *Experiment) SetSeed(seed int64) {
	if seed == 0 {
		return
	}
	e.Settings.Seed = seed
	for _, arm := range e.Arms {
		arm.Experiment.Settings.Seed = seed
	}
}
