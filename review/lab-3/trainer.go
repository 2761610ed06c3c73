package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// models are the models that the engines serve, one for each trainer.
var models = []string{"m5", "m7"}

// configuration is the operator's configuration. Its limits are those of the small
// deployments; the routes are as theirs.
const configuration = `{"version":1,"routes":[
 {"name":"plain","hostname":"name.example","path_prefix":"/plain/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"app","max_attempts":2},
 {"name":"jobs","hostname":"name.example","path_prefix":"/jobs/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":3,"run_deadline_ms":60000,"item_ttl_s":100}],
 "services":[{"name":"app","health_path":"/healthz","max_conns":110},{"name":"llm","health_path":"/healthz","max_conns":150,"backend":{"slots":8,"kv_capacity":110201,"models":[{"name":"m5"},{"name":"m7"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

type wireItem struct {
	ID        string            `json:"id"`
	Path      string            `json:"path"`
	Headers   map[string]string `json:"headers"`
	Body      []byte            `json:"body"`
	NumTokens int               `json:"num_tokens"`
	GroupID   string            `json:"group_id"`
}

type wireBatch struct {
	TrainStep   int        `json:"train_step"`
	ModelID     string     `json:"model_id"`
	MinVersion  int        `json:"min_version"`
	BatchGroups int        `json:"batch_groups"`
	Requests    []wireItem `json:"requests"`
}

// batch returns a batch submission of n items whose bodies have a size each.
func batch(id, model string, step, n, size int) ([]byte, error) {
	b := wireBatch{TrainStep: step, ModelID: model, BatchGroups: n / 4 * 9 / 10}
	for i := range n {
		b.Requests = append(b.Requests, wireItem{
			ID: fmt.Sprintf("%s%04x", id, i), Path: "/jobs/run", Headers: map[string]string{"Sapphirehatch-Model-Id": model},
			Body: itemBody(id, i, size), NumTokens: 1000, GroupID: fmt.Sprintf("g%s%d", id, i/4),
		})
	}
	return json.Marshal(b)
}

// itemBody returns the body of an item.
func itemBody(id string, i, size int) []byte {
	word := fmt.Sprintf("%s-%d;", id, i)
	return []byte(strings.Repeat(word, size/len(word)+1)[:size])
}

// call makes a call to a host for the host name of the routes, and returns its status and body.
func (l *lab) call(m *machine, method, path, id string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(l.ctx, method, "http://"+m.addr["caller"]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "name.example"
	if id != "" {
		req.Header.Set("Sapphirehatch-Attempt-Id", id)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// submit submits a batch submission, at another host after each answer but 202, for 10 s.
func (l *lab) submit(id string, body []byte, first int) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); first++ {
		m := l.machines[first%len(l.machines)]
		status, _, err := l.call(m, http.MethodPost, "/jobs/"+id, id, body)
		l.note("batch submission %s of %d bytes at %s: status %d, error %v", id, len(body), m.id, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		l.sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("batch submission %s isn't accepted", id)
}
