// Package httpsyntax checks that what a server sends is a valid HTTP/1.1 response (RFC 9110,
// RFC 9112) while it is read. The HTTP library alone accepts more: for example, it takes
// status 000 for 200 and blanks in the names of fields.
package httpsyntax
