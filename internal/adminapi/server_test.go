package adminapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v3"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var documentText = "[deployment]\nname = test\n[operator.vera]\nrole = viewer\ntoken_sha256 = " + hashOf("viewer-token") +
	"\n[operator.nadia]\nrole = editor\ntoken_sha256 = " + hashOf("editor-token") + "\n"

type fixedState struct{ state health.State }

func (f *fixedState) State() health.State { return f.state }

func newTestServer(t *testing.T) (*Server, *fixedState) {
	s, state, _ := newTestServerWithPeer(t)
	return s, state
}

func newTestServerWithPeer(t *testing.T) (*Server, *fixedState, *peertest.Exchange) {
	t.Helper()
	network := peertest.NewNetwork()
	otherHost := network.Join(peer.Host{ID: "b"})
	state := &fixedState{state: health.Ready}
	i := do.New()
	do.ProvideValue(i, &settings.Settings{
		Access: settings.Access{OperatorTokenSHA256: hashOf("bootstrap-token")},
		Timing: settings.DefaultTiming(),
	})
	do.ProvideValue(i, logr.Discard())
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, duty.NewGroup(logr.Discard()))
	do.ProvideValue[platform.Table](i, platformtest.NewTable())
	do.ProvideValue[peer.Exchange](i, network.Join(peer.Host{ID: "a"}))
	do.ProvideValue[health.View](i, state)
	config.Provide(i)
	Provide(i)
	return do.MustInvoke[*Server](i), state, otherHost
}

func send(t *testing.T, s *Server, method, path, token string, body []byte) (int, []byte) {
	t.Helper()
	req := httptest.NewRequest(method, path, bytes.NewReader(body))
	if token != "" {
		req.Header.Set(fiber.HeaderAuthorization, "Bearer "+token)
	}
	resp, err := s.app.Test(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, answer
}

func apply(t *testing.T, s *Server, token string, request ApplyRequest) (int, ErrorResponse) {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	status, answer := send(t, s, http.MethodPost, PathConfig, token, body)
	var refusal ErrorResponse
	if status != http.StatusOK {
		if err := json.Unmarshal(answer, &refusal); err != nil || refusal.Error == nil {
			t.Fatalf("refusal %s: %v", answer, err)
		}
	}
	return status, refusal
}

func TestAccess(t *testing.T) {
	s, _ := newTestServer(t)
	if status, refusal := apply(t, s, "bootstrap-token", ApplyRequest{ChangeID: "c1", Text: documentText}); status != http.StatusOK {
		t.Fatalf("bootstrap operator: %d %v", status, refusal)
	}
	tests := []struct {
		name, method, path, token string
		status                    int
	}{
		{"no token", http.MethodGet, PathConfig, "", http.StatusUnauthorized},
		{"wrong token", http.MethodGet, PathConfig, "viewer", http.StatusUnauthorized},
		{"viewer reads", http.MethodGet, PathConfig, "viewer-token", http.StatusOK},
		{"viewer reads history", http.MethodGet, PathConfigHistory, "viewer-token", http.StatusOK},
		{"viewer reads status", http.MethodGet, PathConfigStatus, "viewer-token", http.StatusOK},
		{"viewer reads metrics", http.MethodGet, PathMetrics, "viewer-token", http.StatusOK},
		{"viewer checks", http.MethodPost, PathConfigCheck, "viewer-token", http.StatusOK},
		{"viewer applies", http.MethodPost, PathConfig, "viewer-token", http.StatusForbidden},
		{"editor sends no request", http.MethodPost, PathConfig, "editor-token", http.StatusBadRequest},
		{"metrics without token", http.MethodGet, PathMetrics, "", http.StatusUnauthorized},
		{"health is open", http.MethodGet, PathHealth, "", http.StatusOK},
		{"readiness is open", http.MethodGet, PathReady, "", http.StatusOK},
		{"unknown endpoint", http.MethodGet, "/v1/nothing", "editor-token", http.StatusNotFound},
		{"unknown version", http.MethodGet, PathConfig + "?version=9", "viewer-token", http.StatusNotFound},
		{"bad version", http.MethodGet, PathConfig + "?version=x", "viewer-token", http.StatusBadRequest},
		{"bad limit", http.MethodGet, PathConfigHistory + "?limit=1001", "viewer-token", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := send(t, s, test.method, test.path, test.token, nil)
			if status != test.status {
				t.Errorf("status %d, want %d: %s", status, test.status, body)
			}
			if status >= 400 && !json.Valid(body) {
				t.Errorf("refusal is not JSON: %s", body)
			}
		})
	}
}

func TestApplyErrorsHaveDetails(t *testing.T) {
	s, _ := newTestServer(t)
	status, refusal := apply(t, s, "bootstrap-token", ApplyRequest{ChangeID: "c0", Text: "[deployment]\nqueue_limit = no\n"})
	if status != http.StatusUnprocessableEntity || refusal.Kind != failure.InvalidDocument || len(refusal.Problems) != 2 {
		t.Errorf("invalid document: %d %+v", status, refusal)
	}
	apply(t, s, "bootstrap-token", ApplyRequest{ChangeID: "c1", Text: documentText})
	status, refusal = apply(t, s, "editor-token", ApplyRequest{ChangeID: "c2", Text: documentText})
	if status != http.StatusConflict || refusal.Kind != failure.Conflict || refusal.Current == nil ||
		refusal.Current.Version != 1 || refusal.Current.Operator != "bootstrap" || refusal.Current.ChangeID != "c1" {
		t.Errorf("conflict: %d %+v", status, refusal)
	}
	if status, _ = apply(t, s, "editor-token", ApplyRequest{Base: 1, ChangeID: "c2", Text: documentText}); status != http.StatusOK {
		t.Errorf("change of the newest version: status %d", status)
	}
}

func TestReadinessDistinguishesStates(t *testing.T) {
	s, state := newTestServer(t)
	for _, want := range []health.State{health.Starting, health.Ready, health.Draining, health.Isolated} {
		state.state = want
		status, body := send(t, s, http.MethodGet, PathReady, "", nil)
		var got ReadyResponse
		if err := json.Unmarshal(body, &got); err != nil || got.State != want || (status == http.StatusOK) != (want == health.Ready) {
			t.Errorf("state %s: %d %s", want, status, body)
		}
	}
}

func TestApplyNamesHostsThatAreNotInContact(t *testing.T) {
	s, _, otherHost := newTestServerWithPeer(t)
	otherHost.SetState(peer.StateSuspect)
	status, refusal := apply(t, s, "bootstrap-token", ApplyRequest{ChangeID: "c1", Text: documentText, RequireAll: true})
	if status != http.StatusServiceUnavailable || refusal.Kind != failure.NotReady || refusal.Outcome != failure.NotRun {
		t.Errorf("required contact: %d %+v", status, refusal)
	}
	body, err := json.Marshal(ApplyRequest{ChangeID: "c1", Text: documentText})
	if err != nil {
		t.Fatal(err)
	}
	_, answer := send(t, s, http.MethodPost, PathConfig, "bootstrap-token", body)
	var accepted ApplyResponse
	if err := json.Unmarshal(answer, &accepted); err != nil || accepted.Accepted.Version != 1 || len(accepted.NotInContact) != 1 {
		t.Errorf("answer %s", answer)
	}
}
