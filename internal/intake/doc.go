// Package intake limits what clients can make a host hold: the bytes of their requests and
// answers, their connections, and the time that they take to send and to read. A Budget is
// shared by all listeners of a process.
package intake
