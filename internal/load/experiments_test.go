package load

import (
	"path/filepath"
	"testing"
)

func TestRepositoryExperimentsParse(t *testing.T) {
	for _, name := range []string{"EXPERIMENT_DIR", "CALLER_TOKEN", "TRAINER_TOKEN"} {
		t.Setenv(name, "x")
	}
	files, err := filepath.Glob("../../experiments/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	parsed := 0
	for _, file := range files {
		if filepath.Base(file) == "deployment.ini" {
			continue
		}
		if _, err := Load(file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
		parsed++
	}
	if parsed == 0 {
		t.Error("no experiment file found in ../../experiments")
	}
}
