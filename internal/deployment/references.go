package deployment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// checkReferences checks the rules that involve more than one section.
func checkReferences(d *Document, problems *Problems) {
	c := &referenceChecker{document: d, problems: problems}
	c.checkRules()
	c.checkTrainers()
	c.checkPools()
	c.checkModels()
	c.checkTokens()
}

type referenceChecker struct {
	document *Document
	problems *Problems
}

func (c *referenceChecker) reject(section, key, value, allowed string, args ...any) {
	*c.problems = append(*c.problems, Problem{Section: section, Key: key, Value: value, Allowed: fmt.Sprintf(allowed, args...)})
}

// checkRules checks that each rule names a service and can match a request that no
// earlier rule matches.
func (c *referenceChecker) checkRules() {
	for i, rule := range c.document.Rules {
		c.checkService("rule."+rule.Name, "service", rule.Service)
		for _, earlier := range c.document.Rules[:i] {
			if shadows(earlier, rule) {
				c.reject("rule."+rule.Name, "path_prefix", rule.PathPrefix, "a path that the earlier [rule.%s] does not match", earlier.Name)
				break
			}
		}
	}
}

// shadows reports whether the earlier rule matches every request that the later one
// matches.
func shadows(earlier, later Rule) bool {
	if !strings.HasPrefix(later.PathPrefix, earlier.PathPrefix) {
		return false
	}
	if len(earlier.Methods) == 0 {
		return true
	}
	return len(later.Methods) > 0 && lo.Every(earlier.Methods, later.Methods)
}

func (c *referenceChecker) checkTrainers() {
	for _, name := range sortedKeys(c.document.Trainers) {
		trainer := c.document.Trainers[name]
		c.checkService("trainer."+name, "scorer", trainer.Scorer)
		if _, ok := c.document.EnginePools[trainer.EnginePool]; !ok && trainer.EnginePool != "" {
			c.reject("trainer."+name, "engines", trainer.EnginePool, "the name of an [engines.NAME] section: %s", joinNames(c.document.EnginePools))
		}
	}
}

func (c *referenceChecker) checkService(section, key, value string) {
	if _, ok := c.document.Services[value]; !ok && value != "" {
		c.reject(section, key, value, "the name of a [service.NAME] section: %s", joinNames(c.document.Services))
	}
}

// checkPools checks that services and engine pools have different names, because members
// name their pool without its kind.
func (c *referenceChecker) checkPools() {
	for _, name := range sortedKeys(c.document.EnginePools) {
		if _, ok := c.document.Services[name]; ok {
			c.reject("engines."+name, "", "", "a name that no [service.NAME] section has")
		}
	}
}

// checkModels checks that each model is served by one engine pool.
func (c *referenceChecker) checkModels() {
	owners := map[string]string{}
	for _, name := range sortedKeys(c.document.EnginePools) {
		model := c.document.EnginePools[name].Model
		if owner, found := owners[model]; found && model != "" {
			c.reject("engines."+name, "model", model, "a model that [%s] does not serve", owner)
		}
		owners[model] = "engines." + name
	}
}

// checkTokens checks that no two tenants, operators or trainers have the same token.
func (c *referenceChecker) checkTokens() {
	owners := map[string]string{}
	check := func(section, hash string) {
		if owner, found := owners[hash]; found && hash != "" {
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

func joinNames[T any](sections map[string]T) string {
	if len(sections) == 0 {
		return "(none)"
	}
	return strings.Join(sortedKeys(sections), ", ")
}
