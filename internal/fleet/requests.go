package fleet

import "maps"

// BeginRequest counts a request to a service from its arrival at this host, also while it
// waits for a replica. Call EndRequest when it ends.
func (f *Fleet) BeginRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[service]++
}

// EndRequest ends the count of a request of BeginRequest.
func (f *Fleet) EndRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests[service]--; f.requests[service] <= 0 {
		delete(f.requests, service)
	}
}

// Requests returns the number of this host's requests in flight by service, without the
// rollouts of jobs.
func (f *Fleet) Requests() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.requests)
}
