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
	// defaultJobRetention gives a trainer that restarts an hour to read its job again.
	defaultJobRetention = time.Hour
)

// Load reads and validates the settings file at path. The error is of kind
// InvalidSettings and wraps all Problems of the file.
func Load(path string) (*Settings, error) {
	file, err := strictini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings file %s cannot be read", path).WithField(path)
	}
	return parse(file)
}

// Parse is like Load for the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	file, err := strictini.Load(text)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "settings cannot be read")
	}
	return parse(file)
}

// Default returns the defaults for keys that are not in the file.
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
	if err := decode(file, s, reflect.TypeFor[Settings]()); err != nil {
		return nil, err
	}
	return s, nil
}

// decode validates a file and copies its values to target, a pointer to a struct of type t.
func decode(file *ini.File, target any, t reflect.Type) error {
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
