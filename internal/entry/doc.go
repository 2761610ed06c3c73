// Package entry tells callers which hosts to send requests to, in order of preference.
package entry
