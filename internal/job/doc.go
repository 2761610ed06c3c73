// Package job runs durable batches of rollouts. A job is kept from its
// acceptance on; its results are listed one by one at positions that never
// change, and any host reads them. One host at a time runs a job. It owns the
// job's row, and each of its writes demands the row's version, so that an owner
// that was frozen or cut off while another took over loses by itself.
package job
