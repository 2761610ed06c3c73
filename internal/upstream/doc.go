// Package upstream is the HTTP client for model engines and plain services.
// Each exchange uses one connection exclusively, and a connection is pooled
// only if its exchange ended cleanly. Errors state whether the upstream may
// have received the request.
package upstream
