// Package lease elects one host per shard by leases in the platform's table. A
// shard is the unit of work of one controller, such as an engine pool. Each new
// holder gets a higher fencing token.
package lease
