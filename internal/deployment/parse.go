package deployment

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/strictini"
)

// MaxTextBytes bounds the text of a document, in bytes.
const MaxTextBytes = 256 << 10

const (
	sectionKinds = "[deployment], [tenant.NAME], [operator.NAME], [service.NAME], [engines.NAME], [trainer.NAME] or [rule.NAME]"
)

// Parse reads and validates a document. Its error is of kind InvalidDocument
// and carries all Problems of the text.
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
		p.section(s)
	}
	p.checkDeployment()
	checkReferences(p.document, &p.problems)
	if len(p.problems) > 0 {
		return nil, p.problems.invalid()
	}
	return p.document, nil
}

// parser builds a document from the sections of a file.
type parser struct {
	document *Document
	problems Problems
	seen     map[string]bool
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

func (p *parser) reject(name, allowed string, args ...any) {
	s := section{name: name, problems: &p.problems}
	s.reject("", "", allowed, args...)
}

// section reads one section of the file.
func (p *parser) section(s *ini.Section) {
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
	p.read(newSection(s, s.Name(), &p.problems))
}

func (p *parser) read(s *section) {
	kind, name, named := strings.Cut(s.name, ".")
	read, known := readers[Kind(kind)]
	if !known || (named && Kind(kind) == DeploymentKind) {
		p.reject(s.name, "no such section; allowed are %s", sectionKinds)
		return
	}
	if Kind(kind) != DeploymentKind && !validName(name) {
		p.reject(s.name, nameRule)
	}
	read(p.document, s, name)
	s.finish()
}

func (p *parser) checkDeployment() {
	if name := string(DeploymentKind); !p.seen[name] {
		p.reject(name, "the section is required")
	}
}
