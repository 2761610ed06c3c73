package deployment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// checkReferences checks what needs more than one section.
func checkReferences(d *Document, problems *Problems) {
	c := &referenceCheck{document: d, problems: problems}
	c.rules()
	c.trainers()
	c.pools()
	c.models()
	c.tokens()
}

type referenceCheck struct {
	document *Document
	problems *Problems
}

func (c *referenceCheck) reject(section, key, value, allowed string, args ...any) {
	*c.problems = append(*c.problems, Problem{Section: section, Key: key, Value: value, Allowed: fmt.Sprintf(allowed, args...)})
}

func (c *referenceCheck) rules() {
	for i, rule := range c.document.Rules {
		c.service("rule."+rule.Name, "service", rule.Service)
		for _, earlier := range c.document.Rules[:i] {
			if covers(earlier, rule) {
				c.reject("rule."+rule.Name, "path_prefix", rule.PathPrefix, "a path that the earlier [rule.%s] does not match", earlier.Name)
				break
			}
		}
	}
}

// covers reports whether the earlier rule matches everything that the later one matches.
func covers(earlier, later Rule) bool {
	if !strings.HasPrefix(later.PathPrefix, earlier.PathPrefix) {
		return false
	}
	if len(earlier.Methods) == 0 {
		return true
	}
	return len(later.Methods) > 0 && lo.Every(earlier.Methods, later.Methods)
}

func (c *referenceCheck) trainers() {
	for _, name := range sortedKeys(c.document.Trainers) {
		trainer := c.document.Trainers[name]
		c.service("trainer."+name, "scorer", trainer.Scorer)
		if _, ok := c.document.EnginePools[trainer.EnginePool]; !ok && trainer.EnginePool != "" {
			c.reject("trainer."+name, "engines", trainer.EnginePool, "the name of an [engines.NAME] section: %s", names(c.document.EnginePools))
		}
	}
}

func (c *referenceCheck) service(section, key, value string) {
	if _, ok := c.document.Services[value]; !ok && value != "" {
		c.reject(section, key, value, "the name of a [service.NAME] section: %s", names(c.document.Services))
	}
}

// pools checks that a member's pool name is either a service or an engine pool.
func (c *referenceCheck) pools() {
	for _, name := range sortedKeys(c.document.EnginePools) {
		if _, ok := c.document.Services[name]; ok {
			c.reject("engines."+name, "", "", "a name that no [service.NAME] section has")
		}
	}
}

func (c *referenceCheck) models() {
	owners := map[string]string{}
	for _, name := range sortedKeys(c.document.EnginePools) {
		model := c.document.EnginePools[name].Model
		if owner, taken := owners[model]; taken && model != "" {
			c.reject("engines."+name, "model", model, "a model that [%s] does not serve", owner)
		}
		owners[model] = "engines." + name
	}
}

// tokens checks that a token names one tenant, operator or trainer.
func (c *referenceCheck) tokens() {
	owners := map[string]string{}
	check := func(section, hash string) {
		if owner, taken := owners[hash]; taken && hash != "" {
			c.reject(section, "token_sha256", hiddenValue, "a token that [%s] does not have", owner)
		}
		owners[hash] = section
	}
	for _, name := range sortedKeys(c.document.Tenants) {
		check("tenant."+name, c.document.Tenants[name].TokenSHA256)
	}
	for _, name := range sortedKeys(c.document.Operators) {
		check("operator."+name, c.document.Operators[name].TokenSHA256)
	}
	for _, name := range sortedKeys(c.document.Trainers) {
		check("trainer."+name, c.document.Trainers[name].TokenSHA256)
	}
}

func sortedKeys[T any](sections map[string]T) []string {
	keys := lo.Keys(sections)
	slices.Sort(keys)
	return keys
}

func names[T any](sections map[string]T) string {
	if len(sections) == 0 {
		return "(none)"
	}
	return strings.Join(sortedKeys(sections), ", ")
}
