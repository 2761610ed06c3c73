// Package platform is a simulated platform. It keeps a transactional table, a
// row store, an object store, a membership list and a weight store in memory.
// The membership list shows changes with a delay, and the table and the weight
// store have rate limits.
package platform
