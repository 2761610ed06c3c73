// Package claim makes a request that carries an idempotency key run at most once
// and answers repeats of it from the recorded result.
//
// There are two kinds of keys. A caller-made key may arrive at any host, so it
// is claimed by a conditional insert in the platform's table before the request
// is dispatched. A home-bound key extends a prefix that one process handed out.
// Only that process, the home of the key, may dispatch the request, so it keeps
// the claim in memory alone.
package claim
