// Package swap loads new versions of model weights onto running engines. Trainers
// set the target version of a model. One host at a time sends load orders to the
// engines: the holder of a lease in the row store. Each order contains the
// lease's fencing token.
package swap
