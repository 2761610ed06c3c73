package platform

import "time"

// Paths of the platform's HTTP interface. All bodies are JSON.
const (
	// PathTableRead takes a ReadRequest and answers a RowsResponse.
	PathTableRead = "/table/read"
	// PathTableScan takes a ScanRequest and answers a RowsResponse.
	PathTableScan = "/table/scan"
	// PathTableTransact takes a Transaction; answers 200, or 409 with a ConflictResponse.
	PathTableTransact = "/table/transact"
	// PathObjects is followed by the object's key; PUT, GET and DELETE of raw bytes.
	PathObjects = "/objects/"
	// PathMembers answers a MembersResponse to GET and takes a Member by POST; DELETE on PathMembers/{id}.
	PathMembers = "/members"
	// PathWeights is followed by the model; GET answers a WeightVersion, POST takes one.
	PathWeights = "/weights/"
	// PathWeightData is followed by model/version; an engine's GET streams the weights at the store's limited rate.
	PathWeightData = "/weight-data/"
	// PathRowsRead takes a RowRange and answers a RowPage.
	PathRowsRead = "/rows/read"
	// PathRowsParts takes a PartsRequest and answers a PartPage.
	PathRowsParts = "/rows/parts"
	// PathRowsChanges takes a ChangesRequest and answers a RowPage, or 410 if the history is forgotten.
	PathRowsChanges = "/rows/changes"
	// PathRowsCommit takes a RowTransaction and answers a Receipt, or 409 if a check did not hold.
	PathRowsCommit = "/rows/commit"
)

// PartsRequest asks for the parts of a table behind a part.
type PartsRequest struct {
	Table string `json:"table"`
	After string `json:"after"`
}

// ChangesRequest asks for the changes of a table after a version, waiting for one if there is none.
type ChangesRequest struct {
	Table string        `json:"table"`
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows by prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse answers ReadRequest and ScanRequest.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// ConflictResponse names the first check that did not hold.
type ConflictResponse struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// MembersResponse is the membership list.
type MembersResponse struct {
	Members []Member `json:"members"`
}
