// Package settings reads and validates the INI settings file of one host: its
// addresses, failure domain, TLS files and timing, and the address of the platform.
// There are two kinds of hosts, with different keys: Settings, and Rows for hosts on a
// platform with a row store. What applies to the deployment as a whole is in package
// deployment.
package settings
