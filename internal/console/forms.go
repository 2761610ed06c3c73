package console

import (
	"net/http"
	"slices"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// historyLimit is the number of accepted versions listed on the home page.
const historyLimit = 10

// text returns the text of the draft, or that of the version in force if there is no
// draft.
func (c *Console) text(r *request) []byte {
	if r.session.draft != nil {
		return r.session.draft.text
	}
	return []byte(c.reader.InForce().Text)
}

// updateDraft replaces the text of the draft. It creates a draft of the version in
// force if there is none.
func (c *Console) updateDraft(r *request, text []byte) {
	if r.session.draft == nil {
		r.session.draft = newDraft(c.reader.InForce().Version, text)
		return
	}
	r.session.draft.replaceText(text)
}

func (c *Console) home(r *request) error {
	sections, err := deployment.ParseSections(c.text(r))
	if err != nil {
		return err
	}
	// The history is read from the store. The page is shown without it if the store is
	// unavailable.
	history, err := c.reader.History(r, historyLimit)
	if err != nil && !failure.IsKind(err, failure.StoreUnavailable) {
		return err
	}
	return c.pages.render(r, http.StatusOK, pageHome, homePage{
		layout:   newLayout(r),
		Status:   c.reader.Status(),
		History:  history,
		Sections: sections,
		Kinds:    deployment.SectionKinds(),
	})
}

// sectionForm renders the form of one section, with its values if the section exists.
func (c *Console) sectionForm(r *request) error {
	requested, err := parseSection(r.Query("kind"), r.Query("name"))
	if err != nil {
		return err
	}
	sections, err := deployment.ParseSections(c.text(r))
	if err != nil {
		return err
	}
	found, exists := lo.Find(sections, func(s deployment.Section) bool { return s.Title() == requested.Title() })
	if exists {
		requested = found
	}
	rows := lo.Map(deployment.Fields(requested.Kind), func(f deployment.Field, _ int) fieldRow {
		return fieldRow{Field: f, Value: requested.Values[f.Key]}
	})
	return c.pages.render(r, http.StatusOK, pageSection, sectionPage{layout: newLayout(r), Section: requested, New: !exists, Rows: rows})
}

func parseSection(kind, name string) (deployment.Section, error) {
	s := deployment.Section{Kind: deployment.SectionKind(kind), Name: name}
	if !slices.Contains(deployment.SectionKinds(), s.Kind) {
		return s, failure.New(failure.InvalidRequest, failure.NotRun, "%q is not a kind of section", kind).WithField("kind")
	}
	return s, nil
}

// saveSection writes a section's form into the draft.
func (c *Console) saveSection(r *request) error {
	s, err := parseSection(r.FormValue("kind"), r.FormValue("name"))
	if err != nil {
		return err
	}
	s.Values = map[string]string{}
	for _, field := range deployment.Fields(s.Kind) {
		s.Values[field.Key] = r.FormValue("field." + field.Key)
	}
	text, err := deployment.WithSection(c.text(r), s)
	if err != nil {
		return err
	}
	c.updateDraft(r, text)
	return r.Redirect().Status(http.StatusSeeOther).To(pathDraft)
}

func (c *Console) removeSection(r *request) error {
	s, err := parseSection(r.FormValue("kind"), r.FormValue("name"))
	if err != nil {
		return err
	}
	text, err := deployment.WithoutSection(c.text(r), s.Title())
	if err != nil {
		return err
	}
	c.updateDraft(r, text)
	return r.Redirect().Status(http.StatusSeeOther).To(pathDraft)
}

// draftForm renders the text of the whole document with all its problems.
func (c *Console) draftForm(r *request) error {
	text := c.text(r)
	_, err := deployment.Parse(text)
	page := draftPage{layout: newLayout(r), Base: c.reader.InForce().Version, Text: string(text), Problems: deployment.AsProblems(err)}
	if r.session.draft != nil {
		page.Base = r.session.draft.base
	}
	return c.pages.render(r, http.StatusOK, pageDraft, page)
}

func (c *Console) saveDraft(r *request) error {
	c.updateDraft(r, []byte(normaliseLines(r.FormValue("text"))))
	return r.Redirect().Status(http.StatusSeeOther).To(pathDraft)
}

func (c *Console) discardDraft(r *request) error {
	r.session.draft = nil
	return r.Redirect().Status(http.StatusSeeOther).To(pathHome)
}

// apply commits the draft. If the commit fails, the draft keeps its change id, and
// applying it again repeats the same change.
func (c *Console) apply(r *request) error {
	d := r.session.draft
	if d == nil {
		return failure.New(failure.NotFound, failure.NotRun, "there is no draft to apply")
	}
	notInContact := c.reader.NotInContact()
	head, err := c.committer.Commit(r, config.Change{ID: d.changeID, Operator: r.operator.Name, Base: d.base, Text: d.text})
	if err != nil {
		return err
	}
	r.session.draft = nil
	return c.pages.render(r, http.StatusOK, pageDraft, draftPage{
		layout: newLayout(r), Base: head.Version, Text: string(d.text), Accepted: head.Version, NotInContact: notInContact,
	})
}
