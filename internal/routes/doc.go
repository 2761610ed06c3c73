// Package routes says where a request goes: the table of routes that operators
// keep, with the time, attempts and urgency that each route gives.
package routes
