// Package roster says which hosts are alive. Each host writes a heartbeat row,
// and every host follows the rows of all. A host is held dead when its row stood
// still for a while on the store's clock, of which this host saw the whole; the
// clocks of hosts are compared nowhere.
package roster
