package routing

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
)

const (
	// overloadWindow is how long a queue must have been non-empty before its waiters
	// are shed. After one was shed, a non-empty queue counts as overloaded that long again.
	overloadWindow = time.Second
	// maxWaitShare is the longest wait of an interactive request in an
	// overloaded queue, as a share of the mean duration of an attempt.
	maxWaitShare = 0.03
	// maxWaitShareRollouts replaces maxWaitShare while rollouts are in flight:
	// their capacity goes to the interactive waiters next.
	maxWaitShareRollouts = 0.2
	// minWait and maxWait bound the longest wait of an interactive request.
	minWait = 2 * time.Millisecond
	maxWait = 2 * time.Second
	// rolloutMaxWait is the longest wait of a rollout in an overloaded queue.
	// Rollouts gain nothing by an early refusal.
	rolloutMaxWait = time.Minute
	// attemptSmoothing is the weight of a new attempt in the mean duration, 0 to 1.
	attemptSmoothing = 0.05
)

// waitLimit computes how long a request may wait in an overloaded queue.
type waitLimit struct {
	// meanAttempt is the moving average of the duration of interactive attempts; zero before the first.
	meanAttempt time.Duration
}

// observe records the duration of a successful attempt. Only interactive ones count.
func (w *waitLimit) observe(class deployment.Class, took time.Duration) {
	if class != deployment.ClassInteractive {
		return
	}
	if w.meanAttempt == 0 {
		w.meanAttempt = took
		return
	}
	w.meanAttempt += time.Duration(attemptSmoothing * float64(took-w.meanAttempt))
}

// forClass returns the longest wait of a class.
func (w *waitLimit) forClass(class deployment.Class, rolloutsInFlight bool) time.Duration {
	if class != deployment.ClassInteractive {
		return rolloutMaxWait
	}
	if w.meanAttempt == 0 {
		return maxWait
	}
	share := maxWaitShare
	if rolloutsInFlight {
		share = maxWaitShareRollouts
	}
	return min(maxWait, max(minWait, time.Duration(share*float64(w.meanAttempt))))
}
