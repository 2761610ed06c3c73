package settings

import (
	"reflect"
	"time"

	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

const (
	defaultPlatformTimeout = time.Second
	// defaultJobRetention leaves a trainer an hour to read a job again after a restart of its own.
	defaultJobRetention = time.Hour
)

// Load reads and checks the settings file at path. It returns an
// InvalidSettings error that carries all Problems of the file.
func Load(path string) (*Settings, error) {
	file, err := strictini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings file %s cannot be read", path).WithField(path)
	}
	return parse(file)
}

// Parse is Load for settings held in memory.
func Parse(text []byte) (*Settings, error) {
	file, err := strictini.Load(text)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings cannot be read")
	}
	return parse(file)
}

// Default returns the settings used where the file is silent.
func Default() *Settings {
	return &Settings{
		Platform: Platform{Timeout: defaultPlatformTimeout},
		Log:      Log{Level: "info"},
		Timing:   DefaultTiming(),
		Jobs:     Jobs{Accept: "no", Retention: defaultJobRetention},
	}
}

func parse(file *ini.File) (*Settings, error) {
	s := Default()
	if err := fill(file, s, reflect.TypeFor[Settings]()); err != nil {
		return nil, err
	}
	return s, nil
}

// fill checks a file and copies it into target, a pointer to a struct of type t.
func fill(file *ini.File, target any, t reflect.Type) error {
	problems := checkKeys(file, t)
	if len(problems) == 0 {
		if err := file.StrictMapTo(target); err != nil {
			return failure.Wrap(err, failure.InvalidSettings, "", "settings have a value of the wrong type")
		}
		problems = checkLimits(target)
	}
	if len(problems) > 0 {
		return problems.invalid()
	}
	return nil
}
