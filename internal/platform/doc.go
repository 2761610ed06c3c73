// Package platform defines the services that sapphirehatch needs from the platform
// it runs on, each as a small interface: a transactional table, a partitioned row
// store with a feed of changes, an object store, a membership list that lags
// behind, and a catalogue of model weights. Provide registers an HTTP client for
// each; only this package knows their wire format.
//
// The users' platform has a row store with another interface, whose client is in
// the top-level package platform.
package platform
