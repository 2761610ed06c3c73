package console

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v3"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
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

var documentText = "[deployment]\nname = test\n[operator.vera]\nrole = viewer\ntoken_sha256 = " + hashOf("viewer") +
	"\n[operator.nadia]\nrole = editor\ntoken_sha256 = " + hashOf("editor") + "\n[service.stock]\n"

type ready struct{}

func (ready) State() health.State { return health.Ready }

// browser sends requests to the console of one host and keeps its session cookie.
type browser struct {
	t   *testing.T
	app *fiber.App
	// commit commits a document as the operator ole, without the console.
	commit func(base uint64, text string)
	cookie string
	csrf   string
}

func newBrowser(t *testing.T) *browser {
	i := do.New()
	do.ProvideValue(i, &settings.Settings{Timing: settings.DefaultTiming()})
	do.ProvideValue(i, logr.Discard())
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, duty.NewGroup(logr.Discard()))
	do.ProvideValue[platform.Table](i, platformtest.NewTable())
	do.ProvideValue[peer.Exchange](i, peertest.NewNetwork().Join(peer.Host{ID: "a"}))
	do.ProvideValue[health.View](i, ready{})
	config.Provide(i)
	adminapi.Provide(i)
	Provide(i)
	do.MustInvoke[*Console](i)
	b := &browser{t: t, app: do.MustInvoke[*adminapi.Server](i).Router().(*fiber.App)}
	b.commit = func(base uint64, text string) {
		change := config.Change{ID: fmt.Sprint("api-", base), Operator: "ole", Base: base, Text: []byte(text)}
		if _, err := do.MustInvoke[*config.Committer](i).Commit(t.Context(), change); err != nil {
			t.Fatal(err)
		}
	}
	b.commit(0, documentText)
	return b
}

func (b *browser) do(method, path string, form url.Values, header http.Header) (int, string) {
	b.t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(form.Encode()))
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(fiber.HeaderContentType, fiber.MIMEApplicationForm)
	if b.cookie != "" {
		req.AddCookie(&http.Cookie{Name: sessionCookie, Value: b.cookie})
	}
	resp, err := b.app.Test(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	for _, cookie := range resp.Cookies() {
		if cookie.Name == sessionCookie {
			b.cookie = cookie.Value
			if !cookie.HttpOnly || cookie.SameSite != http.SameSiteStrictMode {
				b.t.Errorf("cookie %+v", cookie)
			}
		}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	if found := regexp.MustCompile(`name="csrf" value="([^"]+)"`).FindSubmatch(body); found != nil {
		b.csrf = string(found[1])
	}
	return resp.StatusCode, string(body)
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	return b.do(http.MethodGet, path, nil, nil)
}

func (b *browser) post(path string, form url.Values) (int, string) {
	b.t.Helper()
	if form == nil {
		form = url.Values{}
	}
	form.Set(csrfField, b.csrf)
	return b.do(http.MethodPost, path, form, nil)
}

func (b *browser) signIn(token string) {
	b.t.Helper()
	if status, body := b.post(pathLogin, url.Values{tokenField: {token}}); status != http.StatusSeeOther {
		b.t.Fatalf("sign in: %d %s", status, body)
	}
	b.get(pathHome)
}

func TestFormsProduceTheDocument(t *testing.T) {
	b := newBrowser(t)
	b.signIn("editor")
	status, body := b.get(pathSection + "?kind=rule&name=bookings")
	if status != http.StatusOK || !strings.Contains(body, `name="field.path_prefix"`) {
		t.Fatalf("form: %d %s", status, body)
	}
	// The document has no service named stok.
	b.post(pathSection, url.Values{"kind": {"rule"}, "name": {"bookings"}, "field.path_prefix": {"/bookings"}, "field.service": {"stok"}})
	if _, body = b.get(pathDraft); !strings.Contains(body, "the name of a [service.NAME] section: stock") || strings.Contains(body, ">Apply<") {
		t.Errorf("draft with a problem: %s", body)
	}
	b.post(pathSection, url.Values{"kind": {"rule"}, "name": {"bookings"}, "field.path_prefix": {"/bookings"}, "field.service": {"stock"}})
	if _, body = b.get(pathDraft); !strings.Contains(body, ">Apply<") {
		t.Errorf("draft without a problem: %s", body)
	}
	if status, body = b.post(pathApply, nil); status != http.StatusOK || !strings.Contains(body, "Version 2 is accepted") {
		t.Errorf("apply: %d %s", status, body)
	}
	if _, body = b.get(pathHome); !strings.Contains(body, "rule.bookings") || !strings.Contains(body, "<td>nadia") {
		t.Errorf("overview: %s", body)
	}
}

func TestConflictNamesTheOtherChangeAndKeepsTheDraft(t *testing.T) {
	b := newBrowser(t)
	b.signIn("editor")
	b.post(pathSection, url.Values{"kind": {"service"}, "name": {"quotes"}})
	b.commit(1, documentText+"timeout = 3s\n")
	status, body := b.post(pathApply, nil)
	if status != http.StatusConflict || !strings.Contains(body, "Version 2 was accepted") || !strings.Contains(body, "operator ole") {
		t.Errorf("apply: %d %s", status, body)
	}
	if _, body = b.get(pathDraft); !strings.Contains(body, "Draft made from version 1") || !strings.Contains(body, "service.quotes") {
		t.Errorf("draft: %s", body)
	}
}

func TestFormsFromOtherSitesAreRejected(t *testing.T) {
	b := newBrowser(t)
	if status, _ := b.get(pathHome); status != http.StatusSeeOther {
		t.Errorf("without a session: %d", status)
	}
	if status, _ := b.post(pathLogin, url.Values{tokenField: {"guess"}}); status != http.StatusUnauthorized {
		t.Errorf("wrong token: %d", status)
	}
	b.signIn("editor")
	form := url.Values{"text": {"[deployment]\nname = stolen\n"}}
	if status, _ := b.do(http.MethodPost, pathDraft, form, nil); status != http.StatusForbidden {
		t.Errorf("without the CSRF token: %d", status)
	}
	form.Set(csrfField, b.csrf)
	if status, _ := b.do(http.MethodPost, pathDraft, form, http.Header{headerFetchSite: {"cross-site"}}); status != http.StatusForbidden {
		t.Errorf("from another site: %d", status)
	}
	if _, body := b.get(pathDraft); strings.Contains(body, "stolen") {
		t.Error("a refused form changed the draft")
	}
}

func TestViewerMayNotEdit(t *testing.T) {
	b := newBrowser(t)
	b.signIn("viewer")
	for _, path := range []string{pathSection, pathRemove, pathDraft, pathDiscard, pathApply} {
		if status, _ := b.post(path, nil); status != http.StatusForbidden {
			t.Errorf("%s: %d", path, status)
		}
	}
	if status, _ := b.post(pathLogout, nil); status != http.StatusSeeOther {
		t.Error("a viewer cannot sign out")
	}
	if status, _ := b.get(pathHome); status != http.StatusSeeOther {
		t.Error("signed in after signing out")
	}
}

func TestRemovedOperatorIsSignedOut(t *testing.T) {
	b := newBrowser(t)
	b.signIn("editor")
	b.commit(1, "[deployment]\nname = test\n")
	if status, _ := b.get(pathHome); status != http.StatusSeeOther {
		t.Errorf("removed operator: %d", status)
	}
}

func TestValuesAreEscaped(t *testing.T) {
	b := newBrowser(t)
	b.signIn("editor")
	b.post(pathDraft, url.Values{"text": {"[deployment]\nname = </textarea><script>alert(1)</script>\n"}})
	if _, body := b.get(pathDraft); strings.Contains(body, "<script>") {
		t.Error("a value became markup")
	}
}
