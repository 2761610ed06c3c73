// Package scaling decides how many replicas each service has in each failure domain, and
// of which kind. Planner is the decision, without I/O and without a clock. Controller
// collects its inputs, keeps its state in a row of the store and sends its orders while
// this host holds the lease. See docs/design/scaling.md.
package scaling
