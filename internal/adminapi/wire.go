package adminapi

import (
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

// Paths of the administration API.
const (
	// PathConfig returns a config.Record to GET (query "version") and accepts an
	// ApplyRequest by POST, to which it returns an ApplyResponse.
	PathConfig = "/v1/config"
	// PathConfigCheck accepts a document's text by POST and returns a CheckResponse.
	PathConfigCheck = "/v1/config/check"
	// PathConfigHistory returns a HistoryResponse (query "limit").
	PathConfigHistory = "/v1/config/history"
	// PathConfigStatus returns a config.Status.
	PathConfigStatus = "/v1/config/status"
	// PathHealth returns status 200 as long as the process can answer.
	PathHealth = "/healthz"
	// PathReady returns a ReadyResponse, with status 503 unless the host is ready.
	PathReady = "/readyz"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// ApplyRequest is the request to replace the deployment document.
type ApplyRequest struct {
	// Base is the version that was edited; zero for the first document. The change is
	// rejected with a conflict if a newer version has been accepted.
	Base uint64 `json:"base"`
	// ChangeID identifies the change. Repeating a request with the same id has no
	// further effect.
	ChangeID string `json:"change_id"`
	// Text is the INI source of the document.
	Text string `json:"text"`
	// RequireAll rejects the change if the responding host suspects any other host, or
	// considers one dead.
	RequireAll bool `json:"require_all,omitempty"`
}

// ApplyResponse is the response to an accepted ApplyRequest.
type ApplyResponse struct {
	Accepted config.VersionInfo `json:"accepted"`
	// NotInContact lists the hosts that the responding host suspected or considered
	// dead. Each of them is down, or uses the previous version until contact is restored.
	NotInContact []string `json:"not_in_contact,omitempty"`
}

// CheckResponse is the result of validating a document.
type CheckResponse struct {
	Valid    bool                 `json:"valid"`
	Problems []deployment.Problem `json:"problems,omitempty"`
}

// HistoryResponse lists accepted versions, newest first.
type HistoryResponse struct {
	Versions []config.VersionInfo `json:"versions"`
}

// ReadyResponse is the response of PathReady.
type ReadyResponse struct {
	State health.State `json:"state"`
	// ConfigVersion is the version in force on this host.
	ConfigVersion uint64 `json:"config_version"`
}

// ErrorResponse is the body of every error response of this API.
type ErrorResponse struct {
	*failure.Error
	// Problems lists what is wrong with a rejected document.
	Problems []deployment.Problem `json:"problems,omitempty"`
	// Current is the newest accepted version, if a change was rejected because it was
	// not based on this one.
	Current *config.VersionInfo `json:"current,omitempty"`
}
