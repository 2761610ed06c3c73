package platform

import (
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// catalogue holds the published weight versions of all models.
type catalogue struct {
	mu     sync.Mutex
	models map[string][]platform.WeightVersion // in order of version
}

func newCatalogue() *catalogue {
	return &catalogue{models: map[string][]platform.WeightVersion{}}
}

// latest returns the newest version of a model. Its Version is zero if there is none.
func (c *catalogue) latest(model string) platform.WeightVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := c.models[model]
	if len(versions) == 0 {
		return platform.WeightVersion{Model: model}
	}
	return versions[len(versions)-1]
}

// find returns a version of a model, and whether it exists.
func (c *catalogue) find(model string, version uint64) (platform.WeightVersion, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.models[model] {
		if v.Version == version {
			return v, true
		}
	}
	return platform.WeightVersion{}, false
}

// publish adds a version and returns true. If the version is already the newest,
// it changes nothing and returns true. If a newer version exists, it returns false.
func (c *catalogue) publish(v platform.WeightVersion) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := c.models[v.Model]
	if len(versions) > 0 {
		newest := versions[len(versions)-1].Version
		if v.Version <= newest {
			return v.Version == newest
		}
	}
	c.models[v.Model] = append(versions, v)
	return true
}
