package chatjobs

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
)

const (
	// rolloutDeadline is the time from the acceptance of a job within which its rollouts must
	// end. It follows from the step time of the deployment size that the product is built for.
	rolloutDeadline = 15 * time.Minute
	// maxEngineFailures is the number of attempts answered with a failure after which a rollout
	// is given up.
	maxEngineFailures = 3
)

// Rules derives the rules of jobs from the deployment document, and implements job.Rules. The
// host name in a job's spec is the name of its trainer.
type Rules struct{ docs deployment.Source }

// JobRule implements job.Rules.
func (r Rules) JobRule(spec *job.Spec, since uint64) (rule job.Rule, found, known bool) {
	doc := r.docs.Current()
	if doc == nil || doc.Version < since {
		return rule, false, false
	}
	trainer, ok := doc.Trainers[spec.Host]
	if !ok {
		return rule, false, true
	}
	return job.Rule{Service: trainer.EnginePool, MaxAttempts: maxEngineFailures, RunDeadline: rolloutDeadline, GiveUpAfter: rolloutDeadline}, true, true
}
