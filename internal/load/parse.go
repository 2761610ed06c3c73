package load

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	sectionExperiment = "experiment"
	sectionUpstream   = "upstream."
	sectionProcess    = "process."
	sectionCaller     = "caller."
	sectionTrainer    = "trainer."
	sectionFault      = "fault."
	sectionArm        = "arm."
)

// Load reads and validates the experiment file at path. Errors are of kind
// failure.InvalidSettings and name the section and the key.
func Load(path string) (*Experiment, error) {
	return parse(path)
}

// Parse is like Load for the text of an experiment file.
func Parse(text []byte) (*Experiment, error) {
	return parse(text)
}

func parse(source any) (*Experiment, error) {
	file, err := readFile(source)
	if err != nil {
		return nil, err
	}
	base, err := parseFile(file)
	if err != nil {
		return nil, err
	}
	if err := base.parseArms(file, source); err != nil {
		return nil, err
	}
	return base, nil
}

// readFile reads the INI sections and expands ${NAME} in values from the
// environment. An unset variable is an error.
func readFile(source any) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, source)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "experiment file cannot be read")
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			missing := ""
			key.SetValue(os.Expand(key.Value(), func(name string) string {
				value, ok := os.LookupEnv(name)
				if !ok {
					missing = name
				}
				return value
			}))
			if missing != "" {
				return nil, failure.New(failure.InvalidSettings, "", "[%s] %s refers to environment variable %s, which is not set", section.Name(), key.Name(), missing).
					WithField(section.Name() + "." + key.Name())
			}
		}
	}
	return file, nil
}

// parseArms parses the file again for each arm, with the arm's values replaced.
// Without an [arm.NAME] section there is one arm named base.
func (e *Experiment) parseArms(file *ini.File, source any) error {
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), sectionArm)
		if !ok {
			continue
		}
		arm := Arm{Name: name, Values: section.KeysHash()}
		changed, err := readFile(source)
		if err != nil {
			return err
		}
		for target, value := range arm.Values {
			if err := replaceValue(changed, section.Name(), target, value); err != nil {
				return err
			}
		}
		if arm.Experiment, err = parseFile(changed); err != nil {
			return err
		}
		e.Arms = append(e.Arms, arm)
	}
	if len(e.Arms) == 0 {
		e.Arms = []Arm{{Name: "base", Experiment: e}}
	}
	return nil
}

func replaceValue(file *ini.File, arm, target, value string) error {
	dot := strings.LastIndexByte(target, '.')
	if dot < 0 || !file.HasSection(target[:dot]) {
		return failure.New(failure.InvalidSettings, "", "[%s] key %s does not name a section of the file as SECTION.KEY", arm, target).WithField(arm + "." + target)
	}
	file.Section(target[:dot]).Key(target[dot+1:]).SetValue(value)
	return nil
}

func parseFile(file *ini.File) (*Experiment, error) {
	e := &Experiment{Settings: defaultSettings()}
	for _, section := range file.Sections() {
		if err := e.parseSection(section); err != nil {
			return nil, err
		}
	}
	if e.Settings.Name == "" {
		return nil, failure.New(failure.InvalidSettings, "", "[experiment] name is required").WithField("experiment.name")
	}
	return e, e.validateReferences()
}

func (e *Experiment) parseSection(section *ini.Section) error {
	full := section.Name()
	name := full[strings.IndexByte(full, '.')+1:]
	switch {
	case full == ini.DefaultSection:
		return rejectUnknownKeys(section, nil)
	case full == sectionExperiment:
		return mapSection(section, &e.Settings)
	case strings.HasPrefix(full, sectionUpstream):
		return appendSection(section, &e.Upstreams, Upstream{Name: name})
	case strings.HasPrefix(full, sectionProcess):
		return appendSection(section, &e.Processes, Process{Name: name})
	case strings.HasPrefix(full, sectionCaller):
		caller := defaultCaller()
		caller.Name = name
		return appendSection(section, &e.Callers, caller)
	case strings.HasPrefix(full, sectionTrainer):
		trainer := defaultTrainer()
		trainer.Name = name
		return appendSection(section, &e.Trainers, trainer)
	case strings.HasPrefix(full, sectionFault):
		return appendSection(section, &e.Faults, Fault{Name: name})
	case strings.HasPrefix(full, sectionArm):
		return nil
	}
	return failure.New(failure.InvalidSettings, "", "unknown section [%s]", full).WithField(full)
}

func appendSection[T any](section *ini.Section, list *[]T, value T) error {
	if err := mapSection(section, &value); err != nil {
		return err
	}
	*list = append(*list, value)
	return nil
}

// mapSection maps a section onto the struct that into points to and validates it.
func mapSection(section *ini.Section, into any) error {
	if err := rejectUnknownKeys(section, reflect.TypeOf(into).Elem()); err != nil {
		return err
	}
	if err := rejectMissingUnits(section, reflect.TypeOf(into).Elem()); err != nil {
		return err
	}
	if err := section.StrictMapTo(into); err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "", "[%s] has a value of the wrong type", section.Name()).WithField(section.Name())
	}
	validate := validator.New()
	validate.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	err := validate.Struct(into)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return failure.Wrap(err, failure.InvalidSettings, "", "[%s] cannot be validated", section.Name()).WithField(section.Name())
	}
	first := fields[0]
	return failure.New(failure.InvalidSettings, "", "[%s] %s = \"%v\" is invalid", section.Name(), first.Field(), first.Value()).
		WithField(section.Name() + "." + first.Field()).
		WithLimit(strings.TrimSuffix(first.Tag()+"="+first.Param(), "="))
}

// rejectUnknownKeys returns an error for a key without a field in the struct type
// of; a nil type allows no keys.
func rejectUnknownKeys(section *ini.Section, of reflect.Type) error {
	var known []string
	for i := 0; of != nil && i < of.NumField(); i++ {
		known = append(known, of.Field(i).Tag.Get("ini"))
	}
	for _, key := range section.KeyStrings() {
		if !lo.Contains(known, key) {
			return failure.New(failure.InvalidSettings, "", "[%s] has unknown key %s", section.Name(), key).
				WithField(section.Name() + "." + key).
				WithLimit("one of " + strings.Join(lo.Without(known, "-"), ", "))
		}
	}
	return nil
}

// rejectMissingUnits returns an error for a duration without a unit, which the INI
// library would read as nanoseconds.
func rejectMissingUnits(section *ini.Section, of reflect.Type) error {
	for i := range of.NumField() {
		name := of.Field(i).Tag.Get("ini")
		if of.Field(i).Type != reflect.TypeFor[time.Duration]() || !section.HasKey(name) {
			continue
		}
		if _, err := time.ParseDuration(section.Key(name).Value()); err != nil {
			return failure.Wrap(err, failure.InvalidSettings, "", "[%s] %s = %q is not a duration with a unit", section.Name(), name, section.Key(name).Value()).
				WithField(section.Name() + "." + name).
				WithLimit("such as 500ms or 2s")
		}
	}
	return nil
}
