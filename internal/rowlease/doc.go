// Package rowlease elects the host that performs a singleton duty. Each duty has a
// named lease, which is a row in the row store that its holder renews by conditional
// writes. A fencing token increases with each new holder.
package rowlease
