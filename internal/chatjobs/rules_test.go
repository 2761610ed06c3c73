package chatjobs

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
)

// fixedDocument is a deployment.Source with one document.
type fixedDocument struct{ doc *deployment.Document }

func (f fixedDocument) Current() *deployment.Document { return f.doc }

// Changed implements deployment.Source; the document never changes.
func (f fixedDocument) Changed() <-chan struct{} { return nil }

// Guards against a host with a document older than a job's acceptance: it took the
// trainer that it had not received for one that was gone.
func TestTrainerThatIsNotReceivedYetIsNotGone(t *testing.T) {
	spec := &job.Spec{Host: "t2"}
	for _, test := range []struct {
		name         string
		version      uint64
		trainers     map[string]deployment.Trainer
		found, known bool
	}{
		{"a document before the acceptance", 3, nil, false, false},
		{"a document before the acceptance with a trainer of that name", 3, map[string]deployment.Trainer{"t2": {}}, false, false},
		{"the document of the acceptance", 4, map[string]deployment.Trainer{"t2": {}}, true, true},
		{"a later document without the trainer", 5, nil, false, true},
	} {
		rules := Rules{fixedDocument{&deployment.Document{Version: test.version, Trainers: test.trainers}}}
		if _, found, known := rules.JobRule(spec, 4); found != test.found || known != test.known {
			t.Errorf("%s: found %t, known %t", test.name, found, known)
		}
	}
}
