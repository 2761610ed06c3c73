package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	hostname   = "depot.example"
	modelName  = "model-a"
	jobsPrefix = "/steps/"
	// scorePrefix and oncePrefix are those of the plain service.
	scorePrefix = "/score/"
	oncePrefix  = "/once/"
)

// manifest is the operator's configuration.
func manifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": hostname, "path_prefix": prefix, "route_kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 3,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("score", scorePrefix, "idempotent", "app", nil),
			route("once", oncePrefix, "non_idempotent", "app", nil),
			route("steps", jobsPrefix, "rollout", "llm", map[string]any{"run_deadline_ms": 60000, "item_ttl_s": 110}),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 110},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 150, "backend": map[string]any{
				"slots": 8, "kv_capacity": 110201, "models": []any{map[string]any{"name": modelName}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// submission returns the body of a batch submission of n items in groups of two.
func submission(id string, n, step int, minVersion, outputTokens int) []byte {
	items := make([]any, 0, n)
	for i := range n {
		item := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": item, "path": jobsPrefix + "run", "num_tokens": 1016 + outputTokens, "body": []byte("prompt of " + item), "group_id": fmt.Sprintf("%s-g%d", id, i/2),
			"headers": map[string]string{
				"Sapphirehatch-Model-Id": modelName, "Sapphirehatch-Token-Usage": fmt.Sprintf("1016,%d", outputTokens),
				"Sapphirehatch-Prompt-Prefix": "9c2e41:1000,5d07b8:16", "Sapphirehatch-Length-Hint": fmt.Sprint(outputTokens),
			},
			"scorer": map[string]any{"id": "score-" + item, "hostname": hostname, "path": scorePrefix + "s", "body": []byte("score " + item)},
		})
	}
	body, err := json.Marshal(map[string]any{"train_step": step, "model_id": modelName, "min_version": minVersion, "batch_groups": n / 2, "requests": items})
	if err != nil {
		panic(err)
	}
	return body
}

// submit submits a batch submission at a host and returns the status; zero without an answer.
func (c *cluster) submit(h *host, id string, body []byte) int {
	status, _, err := call("POST", h.callers, jobsPrefix+id, map[string]string{
		"Host": hostname, "Sapphirehatch-Attempt-Id": id, "Content-Type": "application/json",
	}, body, 6*time.Second)
	c.record.note("submission %s at %s: status %d, error %v", id, h.id, status, err)
	return status
}

// result is a listed result.
type result struct {
	ID             string   `json:"id"`
	State          string   `json:"state"`
	Text           string   `json:"text"`
	WeightVersions []uint64 `json:"weight_versions"`
	Score          string   `json:"score"`
}

// page is an answer with results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads results from a position.
func (c *cluster) read(h *host, id string, after int) (page, int) {
	var p page
	status, body, err := call("GET", h.callers, fmt.Sprintf("/sapphirehatch/lots/%s?after=%d", id, after),
		map[string]string{"Host": hostname, "Sapphirehatch-Wait-Ms": "1000"}, nil, 4*time.Second)
	if err != nil {
		return p, 0
	}
	if status == 200 && json.Unmarshal(body, &p) != nil {
		return p, 0
	}
	return p, status
}

// readAll reads the results of a batch submission until all are listed or the time is over. It
// asks the hosts that run in turn.
func (c *cluster) readAll(id string, within time.Duration) []result {
	var results []result
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		h := c.hosts[i%len(c.hosts)]
		if h.process.ProcessState != nil {
			continue
		}
		p, status := c.read(h, id, len(results))
		for _, r := range p.Results {
			c.record.note("%s lists position %d: %s %s, %d bytes", h.id, len(results), r.ID, r.State, len(r.Text))
			results = append(results, r)
		}
		if status == 200 && len(results) >= p.Total {
			return results
		}
		time.Sleep(100 * time.Millisecond)
	}
	return results
}
