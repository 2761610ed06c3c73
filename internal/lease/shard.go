package lease

import (
	"slices"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
)

// WeightsShard returns the name of the lease under which the weights of an
// engine pool are rolled out.
func WeightsShard(pool string) string { return "weights/" + pool }

// TrainerShard returns the name of the lease under which a trainer's steps are run.
func TrainerShard(trainer string) string { return "trainer/" + trainer }

// Shards returns the names of the leases of all engine pools and trainers of a
// document, sorted.
func Shards(doc *deployment.Document) []string {
	shards := append(
		lo.Map(lo.Keys(doc.EnginePools), func(pool string, _ int) string { return WeightsShard(pool) }),
		lo.Map(lo.Keys(doc.Trainers), func(trainer string, _ int) string { return TrainerShard(trainer) })...,
	)
	slices.Sort(shards)
	return shards
}
