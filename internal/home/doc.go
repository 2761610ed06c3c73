// Package home forwards a request with a home-bound idempotency key to the home
// of the key, the only process that may run the request, and serves forwarded
// requests there. See package claim for the keys.
package home
