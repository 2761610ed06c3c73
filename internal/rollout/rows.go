package rollout

import (
	"fmt"

	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// stepRow is the stored state of one step.
type stepRow struct {
	Trainer string `json:"trainer"`
	Step    uint64 `json:"step"`
	// Groups is the number of groups that the request defines, spares included.
	Groups int `json:"groups"`
	// Needed is the number of committed groups with which the step is sealed.
	Needed int `json:"needed"`
	// GroupSize is the number of rollouts in a group.
	GroupSize int `json:"group_size"`
	// MaxTokens is the largest length of each rollout, in tokens.
	MaxTokens int `json:"max_tokens"`
	// DefinitionHash is the hash of the request that created the step.
	DefinitionHash string               `json:"definition_hash"`
	Definition     blob                 `json:"definition"`
	State          trainerapi.StepState `json:"state"`
	// Epoch counts how often the step was set from sealed back to running before its first
	// delivery.
	Epoch uint64 `json:"epoch"`
	// Sealed lists the content of a sealed step.
	Sealed []sealedGroup `json:"sealed,omitempty"`
	// Delivered is set just before the content is first sent. From then on the content never
	// changes.
	Delivered bool `json:"delivered,omitempty"`
	// Discarded counts the committed groups that were discarded because of their age.
	Discarded int `json:"discarded,omitempty"`
	// ConfigVersion is the version of the document under which the step was accepted; zero if
	// it is not known.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// WriteID identifies the last write. It shows after a lost reply whether the write took
	// effect.
	WriteID string `json:"write_id"`
}

// sealedGroup refers to one committed group of a sealed step.
type sealedGroup struct {
	Group    int    `json:"group"`
	CommitID string `json:"commit_id"`
	// OldestVersion is the oldest weight version in the group, as in groupRow.
	OldestVersion uint64 `json:"oldest"`
}

// groupRow records that a group is committed and where its content is.
type groupRow struct {
	Group int `json:"group"`
	// CommitID identifies the commit. It shows after a lost reply whether the commit took
	// effect.
	CommitID string `json:"commit_id"`
	// OldestVersion is the oldest weight version in any sample of the group; math.MaxUint64 if
	// the samples have no token.
	OldestVersion uint64 `json:"oldest"`
	// InObject is true if the content is stored as an object, false if as a row.
	InObject bool `json:"in_object,omitempty"`
}

// blob is a value stored inline, or in the object store if it is larger than maxInlineBytes.
type blob struct {
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

const (
	// keyPrefix is the common prefix of the keys of all rows and objects of this package.
	keyPrefix = "rollout/"
	// maxInlineBytes is the largest value stored in a row, in bytes. Larger values are stored
	// as objects.
	maxInlineBytes = 32 << 10
)

func stepKey(trainer string, step uint64) string {
	return fmt.Sprintf("%sstep/%s/%020d", keyPrefix, trainer, step)
}

// activePrefix is the key prefix of the rows that list a trainer's unfinished steps.
func activePrefix(trainer string) string { return keyPrefix + "active/" + trainer + "/" }

func activeKey(trainer string, step uint64) string {
	return fmt.Sprintf("%s%020d", activePrefix(trainer), step)
}

func groupPrefix(trainer string, step uint64) string {
	return fmt.Sprintf("%sgroup/%s/%020d/", keyPrefix, trainer, step)
}

func groupKey(trainer string, step uint64, group int) string {
	return fmt.Sprintf("%s%06d", groupPrefix(trainer, step), group)
}

// contentKey is the key of a group's content, as a row or as an object.
func contentKey(trainer string, step uint64, group int, commitID string) string {
	return fmt.Sprintf("%scontent/%s/%020d/%06d/%s", keyPrefix, trainer, step, group, commitID)
}

func definitionKey(trainer string, step uint64, hash string) string {
	return fmt.Sprintf("%sdefinition/%s/%020d/%s", keyPrefix, trainer, step, hash)
}
