// Package adminclient is the client of the administration API in package adminapi. It
// tries several hosts in order, because any host can serve a call.
package adminclient
