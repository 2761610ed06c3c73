package engineapi

// AppendSegment appends next to segments. If next has the weight version of the
// last segment, that segment is extended instead. A segment without tokens is
// dropped.
func AppendSegment(segments []Segment, next Segment) []Segment {
	if next.Tokens == 0 {
		return segments
	}
	last := len(segments) - 1
	if last >= 0 && segments[last].WeightVersion == next.WeightVersion {
		segments[last].Tokens += next.Tokens
		return segments
	}
	return append(segments, next)
}
