// Package controller runs level-based reconcilers. A reconciler is responsible
// for one shard, such as an engine pool, and runs only while this host holds the
// shard's lease. Each run reads the actual state and moves it towards the state
// that the deployment document specifies.
package controller
