package console

import (
	"bytes"
	"embed"
	"html/template"

	"github.com/gofiber/fiber/v3"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

//go:embed pages
var files embed.FS

const (
	pageLogin   = "login.html"
	pageHome    = "home.html"
	pageSection = "section.html"
	pageDraft   = "draft.html"
	pageRefusal = "refusal.html"
)

// pages are the parsed templates.
type pages struct {
	templates *template.Template
}

func newPages() (*pages, error) {
	templates, err := template.ParseFS(files, "pages/*.html")
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "a console page cannot be parsed")
	}
	return &pages{templates: templates}, nil
}

func (p *pages) render(c fiber.Ctx, status int, name string, data any) error {
	var out bytes.Buffer
	if err := p.templates.ExecuteTemplate(&out, name, data); err != nil {
		return failure.Wrap(err, failure.Internal, "", "console page %s cannot be rendered", name)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
	return c.Status(status).Send(out.Bytes())
}

func (c *Console) style(ctx fiber.Ctx) error {
	setSecurityHeaders(ctx)
	text, err := files.ReadFile("pages/style.css")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "the console's style sheet cannot be read")
	}
	ctx.Set(fiber.HeaderContentType, "text/css; charset=utf-8")
	return ctx.Send(text)
}

// layout is the data that every page of a signed-in operator shows.
type layout struct {
	Operator string
	// MayEdit is true if the operator may change the configuration.
	MayEdit  bool
	CSRF     string
	HasDraft bool
}

func newLayout(r *request) layout {
	return layout{
		Operator: r.operator.Name,
		MayEdit:  r.operator.Role == deployment.RoleEditor,
		CSRF:     r.session.csrf,
		HasDraft: r.session.draft != nil,
	}
}

type loginPage struct {
	Refusal *failure.Error
}

type homePage struct {
	layout
	Status   config.Status
	History  []config.VersionInfo
	Sections []deployment.Section
	Kinds    []deployment.SectionKind
}

type sectionPage struct {
	layout
	Section deployment.Section
	New     bool
	Rows    []fieldRow
}

// fieldRow is one key of a section's form.
type fieldRow struct {
	deployment.Field
	Value string
}

type draftPage struct {
	layout
	Base     uint64
	Text     string
	Problems deployment.Problems
	// Accepted is the version number of an applied draft; zero before.
	Accepted     uint64
	NotInContact []string
}

type refusalPage struct {
	layout
	Refusal  *failure.Error
	Problems deployment.Problems
	Current  *config.VersionInfo
}
