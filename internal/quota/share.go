package quota

// evenShare is the share of an exceeded quota that is split evenly among the
// hosts. It lets a host where a tenant is new admit requests before the demand
// is known.
const evenShare = 0.1

// demandView is what one host knows of a tenant's demand, in requests per second.
type demandView struct {
	// own is tenantState.propagatedDemand: the part of this host's demand that every
	// other host has at least in its total.
	own float64
	// total is own plus the latest known demand of the other hosts. Each host's
	// own is included in every other host's total, so the shares never add up to
	// more than the quota.
	total float64
	// live is the number of live hosts. known also counts dead ones, which may
	// still serve requests on the other side of a network partition.
	live, known int
}

// hostShare returns this host's share of a quota, in requests per second. The
// shares of hosts with the same view add up to at most the quota. An even share
// is kept for each host that is known but not live, so the two sides of a
// network partition together don't exceed the quota.
func hostShare(quota float64, v demandView) float64 {
	live, known := float64(max(v.live, 1)), float64(max(v.known, v.live, 1))
	available := quota * live / known
	if v.total <= available {
		return v.own + (available-v.total)/live
	}
	return available * ((1-evenShare)*v.own/v.total + evenShare/live)
}
