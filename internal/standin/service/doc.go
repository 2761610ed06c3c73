// Package service is a simulated plain service. It answers every request with an
// echo of it, and logs each execution before it responds.
package service
