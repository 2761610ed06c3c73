package job

import "time"

// OpenJob is a job whose results are not all listed and that no trainer has ended, whoever
// owns it.
type OpenJob struct {
	ID    string
	Model string
	// Unlisted is the number of its rollouts without a listed result.
	Unlisted int
}

// OpenJobs returns the open jobs as the owner rows show them, and the time of the request
// that last brought the rows up to date; zero before the first.
func (m *Manager) OpenJobs() ([]OpenJob, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []OpenJob
	for id, state := range m.jobs {
		if state.version > 0 && !state.over() {
			open = append(open, OpenJob{ID: id, Model: state.owner.Model, Unlisted: state.owner.Total - state.owner.Listed})
		}
	}
	return open, m.syncedAt
}
