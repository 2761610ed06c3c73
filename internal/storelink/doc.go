// Package storelink carries a host's calls to the row store over another host while
// the store turns this host away.
//
// Link and Order decide: they make no calls and read no clock. Store is the
// platform.RowStore that follows them, and Server is the other host's end. A relayed
// write is as conditional as a direct one, so one that takes effect late loses by
// itself, and a call is relayed once only.
package storelink
