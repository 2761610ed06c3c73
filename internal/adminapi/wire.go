package adminapi

import (
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

// Paths of the administration API.
const (
	// PathConfig answers a config.Record to GET (query "version") and takes an ApplyRequest by POST.
	PathConfig = "/v1/config"
	// PathConfigCheck takes a document's text by POST and answers a CheckResponse.
	PathConfigCheck = "/v1/config/check"
	// PathConfigHistory answers a HistoryResponse (query "limit").
	PathConfigHistory = "/v1/config/history"
	// PathConfigStatus answers a config.Status.
	PathConfigStatus = "/v1/config/status"
	// PathHealth answers 200 while the process answers at all.
	PathHealth = "/healthz"
	// PathReady answers a ReadyResponse, with status 503 unless the host is ready.
	PathReady = "/readyz"
	// PathMetrics answers metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// ApplyRequest asks for a change of the configuration.
type ApplyRequest struct {
	// Base is the version that was edited; zero for the first document.
	Base uint64 `json:"base"`
	// ChangeID identifies the change; a repeat with the same id has no further effect.
	ChangeID string `json:"change_id"`
	Text     string `json:"text"`
	// RequireAll refuses the change while a known host is not in contact.
	RequireAll bool `json:"require_all,omitempty"`
}

// ApplyResponse answers an accepted ApplyRequest.
type ApplyResponse struct {
	Accepted config.VersionInfo `json:"accepted"`
	// NotInContact lists the hosts that the answering host had no contact with.
	// Such a host is down, or serves the version before until it is back in contact.
	NotInContact []string `json:"not_in_contact,omitempty"`
}

// CheckResponse answers the check of a document.
type CheckResponse struct {
	Valid    bool                 `json:"valid"`
	Problems []deployment.Problem `json:"problems,omitempty"`
}

// HistoryResponse lists accepted versions, the newest first.
type HistoryResponse struct {
	Versions []config.VersionInfo `json:"versions"`
}

// ReadyResponse answers PathReady.
type ReadyResponse struct {
	State health.State `json:"state"`
	// ConfigVersion is the version in force on this host.
	ConfigVersion uint64 `json:"config_version"`
}

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	*failure.Error
	// Problems lists the faults of a refused document.
	Problems []deployment.Problem `json:"problems,omitempty"`
	// Current is the accepted version that a refused change conflicts with.
	Current *config.VersionInfo `json:"current,omitempty"`
}
