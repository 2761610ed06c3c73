package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// hostName is the host name of all routes.
	hostName = "name.example"
	// callTimeout is how long a trainer waits for an answer.
	callTimeout = 5 * time.Second
)

// call makes one request on a new connection.
func call(method, url, host string, headers map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}

// result is a listed result of a batch submission.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"weight_versions"`
}

// results is the answer to a read of results.
type results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// batch is a batch submission. Its items are named ID-0, ID-1 and so on.
type batch struct {
	l          *lab
	id, path   string
	model      string
	step       int
	minVersion int
	items      int
}

func (b batch) item(n int) string { return fmt.Sprintf("%s-%d", b.id, n) }

func (b batch) body() ([]byte, error) {
	requests := make([]map[string]any, b.items)
	for n := range requests {
		requests[n] = map[string]any{
			"id": b.item(n), "path": b.path + "run", "body": []byte("body of " + b.item(n)), "num_tokens": 500, "group_id": fmt.Sprintf("%s-g%d", b.id, n/2),
			"headers": map[string]string{"Sapphirehatch-Model-Id": b.model, "Sapphirehatch-Token-Usage": "100,400", "Sapphirehatch-Prompt-Prefix": fmt.Sprintf("ab%d:100", n)},
		}
	}
	return json.Marshal(map[string]any{
		"train_step": b.step, "model_id": b.model, "min_version": b.minVersion, "batch_groups": b.items / 2, "requests": requests,
	})
}

// submit submits the batch at a host. After a refusal it is submitted again, for at most
// a second.
func (b batch) submit(h *host) error {
	body, err := b.body()
	if err != nil {
		return err
	}
	for range 50 {
		status, _, err := call("POST", "http://"+h.callers+b.path+b.id, hostName, map[string]string{"Sapphirehatch-Attempt-Id": b.id, "Content-Type": "application/json"}, body)
		b.l.rec.add("trainer: submission %s at host %s: status %d, error %v", b.id, h.name, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		if status == http.StatusNotFound {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", b.id)
}

// read reads results from a position on, and returns the status of the answer.
func (b batch) read(h *host, after int) (int, results, error) {
	status, text, err := call("GET", fmt.Sprintf("http://%s/sapphirehatch/lots/%s?after=%d", h.callers, b.id, after), hostName, map[string]string{"Sapphirehatch-Wait-Ms": "0"}, nil)
	var page results
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(text, &page)
	}
	b.l.rec.add("trainer: read of %s after %d at host %s: status %d, total %d, results %d, error %v", b.id, after, h.name, status, page.Total, len(page.Results), err)
	return status, page, err
}

// readAll reads results until all are listed or the time is over.
func (b batch) readAll(h *host, within time.Duration) []result {
	var all []result
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		status, page, err := b.read(h, len(all))
		if err != nil || status != http.StatusOK {
			continue
		}
		for _, r := range page.Results {
			b.l.rec.add("trainer: result %d of %s: %s is %s, %d bytes, versions %v", len(all), b.id, r.ID, r.State, len(r.Text), r.Versions)
			all = append(all, r)
		}
		if len(all) == page.Total {
			return all
		}
	}
	return all
}

// end ends the batch and returns when the end was acknowledged.
func (b batch) end(h *host) (time.Time, error) {
	b.l.rec.add("trainer: ends %s at host %s", b.id, h.name)
	status, _, err := call("DELETE", "http://"+h.callers+"/sapphirehatch/lots/"+b.id, hostName, nil, nil)
	b.l.rec.add("trainer: end of %s: status %d, error %v", b.id, status, err)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("end of %s was answered %d", b.id, status)
	}
	return time.Now(), err
}
