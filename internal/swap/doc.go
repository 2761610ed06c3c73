// Package swap moves engines to the versions of the weights that trainers name.
// One host at a time gives orders: it holds a lease in the row service, whose
// fencing token goes with each order.
package swap
