package chatjobs

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
)

const (
	// stepTime is the time within which a step's samples are due, from the
	// deployment size that the product is built for.
	stepTime = 15 * time.Minute
	// maxFailures is the number of runs failed by engines that end a rollout.
	maxFailures = 3
)

// Rules finds the rules of jobs in the deployment document. The host name of a
// job's spec is its trainer. It implements job.Rules.
type Rules struct{ docs deployment.Source }

// JobRule implements job.Rules.
func (r Rules) JobRule(spec *job.Spec) (rule job.Rule, found, known bool) {
	doc := r.docs.Current()
	if doc == nil {
		return rule, false, false
	}
	trainer, ok := doc.Trainers[spec.Host]
	if !ok {
		return rule, false, true
	}
	return job.Rule{Service: trainer.Engines, MaxAttempts: maxFailures, RunDeadline: stepTime, GiveUpAfter: stepTime}, true, true
}
