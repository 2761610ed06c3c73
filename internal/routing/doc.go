// Package routing picks the upstream replica that serves a request. A Balancer
// holds one pool per service or engine section of the deployment document. In
// each pool filters drop unsuitable replicas, scorers rank the rest and a
// picker takes one. Requests for which no replica has free capacity wait in a
// queue per class, fairly among tenants.
package routing
