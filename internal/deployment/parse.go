package deployment

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

// MaxTextBytes is the maximum size of a document's text, in bytes.
const MaxTextBytes = 256 << 10

const (
	// sectionKinds lists the section titles for problems.
	sectionKinds = "[deployment], [tenant.NAME], [operator.NAME], [service.NAME], [engines.NAME], [trainer.NAME] or [rule.NAME]"
)

// Parse parses and validates the text of a document. The error is of kind
// InvalidDocument and wraps all Problems of the text.
func Parse(text []byte) (*Document, error) {
	p := newParser(text)
	if len(text) > MaxTextBytes {
		p.reject("", "the document may have up to %d bytes, not %d", MaxTextBytes, len(text))
		return nil, p.problems.invalid()
	}
	file, err := strictini.Load(text)
	if err != nil {
		p.reject("", "INI sections with one key = value a line (%s)", err.Error())
		return nil, p.problems.invalid()
	}
	for _, s := range file.Sections() {
		p.parseSection(s)
	}
	p.requireDeployment()
	checkReferences(p.document, &p.problems)
	if len(p.problems) > 0 {
		return nil, p.problems.invalid()
	}
	return p.document, nil
}

// parser builds a document from the sections of a file and collects the problems.
type parser struct {
	document *Document
	problems Problems
	// seen has the titles of the sections parsed so far.
	seen map[string]bool
}

func newParser(text []byte) *parser {
	p := &parser{
		document: &Document{
			Text:        append([]byte(nil), text...),
			Tenants:     map[string]Tenant{},
			Operators:   map[string]Operator{},
			Services:    map[string]Service{},
			EnginePools: map[string]EnginePool{},
			Trainers:    map[string]Trainer{},
		},
		seen: map[string]bool{},
	}
	return p
}

// reject adds a problem of a section as a whole, or of the text if name is empty.
func (p *parser) reject(name, allowed string, args ...any) {
	s := section{name: name, problems: &p.problems}
	s.reject("", "", allowed, args...)
}

// parseSection parses one section of the file. A repeated section is a problem.
func (p *parser) parseSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		if len(s.Keys()) > 0 {
			p.reject("", "keys must stand in a section; the first outside of one is %s", s.Keys()[0].Name())
		}
		return
	}
	if p.seen[s.Name()] {
		p.reject(s.Name(), "a section may be given once")
		return
	}
	p.seen[s.Name()] = true
	p.readSection(newSection(s, s.Name(), &p.problems))
}

// readSection reads the keys of a section into the document.
func (p *parser) readSection(s *section) {
	kind, name, named := strings.Cut(s.name, ".")
	read, known := sectionReaders[SectionKind(kind)]
	if !known || (named && SectionKind(kind) == DeploymentKind) {
		p.reject(s.name, "no such section; allowed are %s", sectionKinds)
		return
	}
	if SectionKind(kind) != DeploymentKind && !validName(name) {
		p.reject(s.name, nameRule)
	}
	read(p.document, s, name)
	s.rejectUnknownKeys()
}

func (p *parser) requireDeployment() {
	if name := string(DeploymentKind); !p.seen[name] {
		p.reject(name, "the section is required")
	}
}
