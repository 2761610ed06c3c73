// Package usage counts the requests of each team by window of true time, and reports
// the counts of all hosts to the control API.
//
// Each host counts the requests whose response arrived at it (Counter) and writes its
// counts of a window as a row of Table (Writer). The holder of a lease adds up the rows
// of a window, commits the sum to the state row, and only then sends it (Reporter). So a
// window is never reported with two different counts, whoever sends the report.
package usage
