package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["open-job"] = openJob }

const (
	// statusSeconds is status_s of the small deployment.
	statusSeconds = 60
	// readAgainAfter is when the other requester reads again, counted from the submission.
	readAgainAfter = 105 * time.Second
	openJobItems   = 6
)

// openJob submits a batch, which is completed and read. The trouble is that its trainer
// leaves without ending it. Another requester reads the open batch later than status_s
// after its submission. Without the trouble the trainer ends it, and it is read until
// status_s only.
func openJob(l *lab, trouble bool) (bool, error) {
	l.configure(1, firstRoute)
	if _, err := l.addEngine(engineConfig{id: "e1", service: "llm", model: "m1", slots: 4, events: 10, pace: 30 * time.Millisecond, loadTime: time.Second}); err != nil {
		return false, err
	}
	var hosts []*host
	for _, name := range []string{"one", "two", "three"} {
		h, err := l.addHost(name, 0.8, statusSeconds)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	time.Sleep(settleTime)
	submitted := time.Now()
	b := batch{l: l, id: "batch-1", path: "/first/", model: "m1", step: 0, minVersion: 1, items: openJobItems}
	if err := b.submit(hosts[0]); err != nil {
		return false, err
	}
	all := b.readAll(hosts[1], readWithin)
	if countState(all, "completed") != openJobItems {
		return false, errors.New("the batch was not completed")
	}
	last := readAgainAfter
	if trouble {
		l.rec.add("trouble: the trainer leaves and does not end %s", b.id)
	} else {
		if _, err := b.end(hosts[0]); err != nil {
			return false, err
		}
		last = (statusSeconds - 5) * time.Second
	}
	broken := false
	for ; ; time.Sleep(5 * time.Second) {
		for _, h := range hosts {
			status, page, err := b.read(h, 0)
			if err == nil && (status == http.StatusNotFound || status == http.StatusGone || status == http.StatusOK && !sameResults(all, page.Results)) {
				l.rec.add("check: host %s has lost the results of %s, which is open or younger than status_s", h.name, b.id)
				broken = true
			}
		}
		if broken || time.Since(submitted) > last {
			l.copyLogs("expired job deleted")
			return broken, nil
		}
	}
}

// sameResults reports whether a page of results is the beginning of what was read before.
func sameResults(before, page []result) bool {
	if len(page) == 0 || len(page) > len(before) {
		return false
	}
	for i, r := range page {
		if r.ID != before[i].ID || r.Text != before[i].Text || r.State != before[i].State {
			return false
		}
	}
	return true
}
