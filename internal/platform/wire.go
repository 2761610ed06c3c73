package platform

import "time"

// Paths of the platform's HTTP interface. Bodies are JSON unless stated otherwise.
const (
	// PathTableRead accepts a ReadRequest and returns a RowsResponse.
	PathTableRead = "/table/read"
	// PathTableScan accepts a ScanRequest and returns a RowsResponse.
	PathTableScan = "/table/scan"
	// PathTableTransact accepts a Transaction. The status is 200, or 409 with a
	// ConflictResponse.
	PathTableTransact = "/table/transact"
	// PathObjects is followed by the object's key, for PUT, GET and DELETE of raw bytes.
	PathObjects = "/objects/"
	// PathMembers returns a MembersResponse to GET and accepts a Member by POST. DELETE
	// is at PathMembers/{id}.
	PathMembers = "/members"
	// PathWeights is followed by the model. GET returns a WeightVersion, POST accepts one.
	PathWeights = "/weights/"
	// PathWeightData is followed by model/version. GET by an engine streams the
	// weights at the store's limited rate.
	PathWeightData = "/weight-data/"
	// PathRowsRead accepts a RowRange and returns a RowPage.
	PathRowsRead = "/rows/read"
	// PathRowsParts accepts a PartsRequest and returns a PartPage.
	PathRowsParts = "/rows/parts"
	// PathRowsChanges accepts a ChangesRequest and returns a RowPage. The status is 410
	// if the store no longer has the changes.
	PathRowsChanges = "/rows/changes"
	// PathRowsCommit accepts a RowTransaction and returns a CommitResult. The status is 409
	// if a check failed.
	PathRowsCommit = "/rows/commit"
)

// PartsRequest asks for the parts of a table that come after the part After.
type PartsRequest struct {
	Table string `json:"table"`
	After string `json:"after"`
}

// ChangesRequest asks for the changes of a table after a version. If there are
// none, the reply waits for one for up to Wait.
type ChangesRequest struct {
	Table string        `json:"table"`
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for up to Limit rows by prefix of the key, starting after the
// key After.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the reply to ReadRequest and ScanRequest.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// ConflictResponse names the key of the first check that failed, and the current
// version of that row.
type ConflictResponse struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// MembersResponse is the membership list.
type MembersResponse struct {
	Members []Member `json:"members"`
}
