package console

import (
	"net/http"

	"github.com/gofiber/fiber/v3"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Paths of the console.
const (
	pathHome    = "/console"
	pathStyle   = "/console/style.css"
	pathLogin   = "/console/login"
	pathLogout  = "/console/logout"
	pathSection = "/console/section"
	pathRemove  = "/console/section/remove"
	pathDraft   = "/console/draft"
	pathDiscard = "/console/draft/discard"
	pathApply   = "/console/apply"
)

const (
	sessionCookie = "sapphirehatch_session"
	csrfField     = "csrf"
	tokenField    = "token"
	// headerFetchSite is the header in which browsers send the relation between the
	// site that caused a request and the server's own.
	headerFetchSite = "Sec-Fetch-Site"
)

// Console is the web interface. Its pages are routes of the administration API.
type Console struct {
	server    *adminapi.Server
	committer *config.Committer
	reader    *config.Reader
	sessions  *sessions
	pages     *pages
}

// request is one request of a signed-in operator.
type request struct {
	fiber.Ctx
	session  *session
	operator adminapi.Operator
}

// handler handles a request. It runs with the lock of the session's draft held.
type handler func(r *request) error

func (c *Console) registerRoutes() {
	router := c.server.Router()
	router.Get(pathStyle, c.style)
	router.Get(pathLogin, c.loginForm)
	router.Post(pathLogin, c.login)
	for path, h := range map[string]handler{pathHome: c.home, pathSection: c.sectionForm, pathDraft: c.draftForm} {
		router.Get(path, c.requireSession(deployment.RoleViewer, h))
	}
	router.Post(pathLogout, c.requireSession(deployment.RoleViewer, c.requireCSRF(c.logout)))
	for path, h := range map[string]handler{
		pathSection: c.saveSection, pathRemove: c.removeSection,
		pathDraft: c.saveDraft, pathDiscard: c.discardDraft, pathApply: c.apply,
	} {
		router.Post(path, c.requireSession(deployment.RoleEditor, c.requireCSRF(h)))
	}
}

// requireSession runs h for a request with a valid session, and redirects others to the
// login page. It authorizes the session's token on every request, because a new
// document may have removed the operator or changed the role.
func (c *Console) requireSession(required deployment.OperatorRole, h handler) fiber.Handler {
	return func(ctx fiber.Ctx) error {
		setSecurityHeaders(ctx)
		s := c.sessions.find(ctx.Cookies(sessionCookie))
		if s == nil {
			return ctx.Redirect().Status(http.StatusSeeOther).To(pathLogin)
		}
		operator, err := c.server.Authorize(s.token, required)
		if failure.IsKind(err, failure.Unauthorized) {
			c.sessions.end(s.id)
			return ctx.Redirect().Status(http.StatusSeeOther).To(pathLogin)
		}
		r := &request{Ctx: ctx, session: s, operator: operator}
		if err != nil {
			return c.renderError(r, err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := h(r); err != nil {
			return c.renderError(r, err)
		}
		return nil
	}
}

// requireCSRF rejects forms without the session's CSRF token, and those that another
// site has sent.
func (c *Console) requireCSRF(h handler) handler {
	return func(r *request) error {
		if !isSameSite(r) || !r.session.validCSRF(r.FormValue(csrfField)) {
			return failure.New(failure.Forbidden, failure.NotRun, "the form does not come from this session").WithField(csrfField)
		}
		return h(r)
	}
}

// isSameSite reports whether a request comes from the console itself or directly from
// the user. Requests of clients that do not send the header count as such.
func isSameSite(c fiber.Ctx) bool {
	site := c.Get(headerFetchSite)
	return site == "" || site == "same-origin" || site == "none"
}

// setSecurityHeaders sets the headers that forbid framing, caching and scripts.
func setSecurityHeaders(c fiber.Ctx) {
	c.Set(fiber.HeaderContentSecurityPolicy, "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	c.Set(fiber.HeaderXContentTypeOptions, "nosniff")
	c.Set(fiber.HeaderReferrerPolicy, "no-referrer")
	c.Set(fiber.HeaderCacheControl, "no-store")
}

func (c *Console) loginForm(ctx fiber.Ctx) error {
	setSecurityHeaders(ctx)
	return c.pages.render(ctx, http.StatusOK, pageLogin, loginPage{})
}

func (c *Console) login(ctx fiber.Ctx) error {
	setSecurityHeaders(ctx)
	token := ctx.FormValue(tokenField)
	_, err := c.server.Authorize(token, deployment.RoleViewer)
	if err == nil && !isSameSite(ctx) {
		err = failure.New(failure.Forbidden, failure.NotRun, "the form comes from another site")
	}
	if err != nil {
		refusal := failure.As(err)
		return c.pages.render(ctx, refusal.Status(), pageLogin, loginPage{Refusal: refusal})
	}
	ctx.Cookie(&fiber.Cookie{
		Name:     sessionCookie,
		Value:    c.sessions.start(token).id,
		Path:     pathHome,
		HTTPOnly: true,
		SameSite: fiber.CookieSameSiteStrictMode,
		MaxAge:   int(sessionLifetime.Seconds()),
	})
	return ctx.Redirect().Status(http.StatusSeeOther).To(pathHome)
}

func (c *Console) logout(r *request) error {
	c.sessions.end(r.session.id)
	return r.Redirect().Status(http.StatusSeeOther).To(pathLogin)
}

// renderError renders the error page.
func (c *Console) renderError(r *request, err error) error {
	refusal := failure.As(err)
	page := refusalPage{layout: newLayout(r), Refusal: refusal, Problems: deployment.AsProblems(err)}
	if conflict := config.AsConflict(err); conflict != nil {
		page.Current = &conflict.Current
	}
	return c.pages.render(r, refusal.Status(), pageRefusal, page)
}
