// Package follow keeps a copy of one table of the row service up to date: it
// lists the table once, then follows its feed of changes, and lists it again
// when the service has forgotten the changes in between.
package follow
