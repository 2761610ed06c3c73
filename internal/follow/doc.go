// Package follow keeps a copy of a table of the row store up to date. A Follower
// lists the table once, unless Config.ChangesOnly is set, and then long-polls its
// change feed. It lists the table again
// if the store no longer has all changes since the last poll.
package follow
