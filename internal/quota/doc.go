// Package quota enforces each tenant's request rate over all hosts. Every host
// publishes the demand that it measures through the peer exchange and limits
// each tenant to a share of the quota in proportion to that demand. The shares
// add up to at most the quota, without a call to other hosts per request.
package quota
