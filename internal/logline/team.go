package logline

import "github.com/go-logr/logr"

// WithTeam returns a logger that adds the name of a team to each line, unless it is empty.
func WithTeam(log logr.Logger, team string) logr.Logger {
	if team == "" {
		return log
	}
	return log.WithValues("team", team)
}
